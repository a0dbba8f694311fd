#include "http/message.h"

#include <QString>
#include <QUrlQuery>

namespace almond::http {

reply makeReply(status code, std::string body, std::string_view type)
{
    reply result;
    result.message.result(code);
    result.message.set(field::content_type, boost::beast::string_view(type.data(), type.size()));
    result.message.body() = std::move(body);
    return result;
}

reply makeJsonReply(status code, const nlohmann::json &body)
{
    return makeReply(code, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                     "application/json");
}

reply makeErrorReply(status code, std::string_view message)
{
    return makeJsonReply(code, {{"error", message}});
}

target_parts splitTarget(std::string_view target)
{
    const auto separator = target.find('?');
    if (separator == std::string_view::npos)
        return {target, {}};
    return {target.substr(0, separator), target.substr(separator + 1)};
}

std::string queryParameter(std::string_view query, std::string_view name)
{
    const QUrlQuery parsed(QString::fromUtf8(query.data(), static_cast<qsizetype>(query.size())));
    const QString key = QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size()));
    return parsed.queryItemValue(key, QUrl::FullyDecoded).toStdString();
}

} // namespace almond::http
