#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace almond::http {

using status = boost::beast::http::status;
using verb = boost::beast::http::verb;
using field = boost::beast::http::field;
using request = boost::beast::http::request<boost::beast::http::string_body>;
using response = boost::beast::http::response<boost::beast::http::string_body>;

//! How a server ends an exchange. Only send is for production; the others let test servers simulate failing
//! peers.
enum class reply_action { send, dropConnection, truncate };

//! What a handler returns for one request.
struct reply
{
    response message;
    reply_action action = reply_action::send;
};

//! Returns a reply with \a body of the media type \a type.
reply makeReply(status code, std::string body, std::string_view type = "text/plain");
//! Returns a reply with \a body as JSON; invalid UTF-8 is replaced.
reply makeJsonReply(status code, const nlohmann::json &body);
//! Returns a JSON reply {"error": message}.
reply makeErrorReply(status code, std::string_view message);

//! Returns the value of the header \a name, or an empty view if there is none.
inline std::string_view header(const request &message, std::string_view name)
{
    const auto found = message.find({name.data(), name.size()});
    return found == message.end() ? std::string_view()
                                  : std::string_view(found->value().data(), found->value().size());
}
//! \copydoc header
inline std::string_view header(const response &message, std::string_view name)
{
    const auto found = message.find({name.data(), name.size()});
    return found == message.end() ? std::string_view()
                                  : std::string_view(found->value().data(), found->value().size());
}

//! Path and query of a request target.
struct target_parts
{
    std::string_view path;
    std::string_view query;
};

//! Splits \a target at its first question mark. The views refer to \a target.
target_parts splitTarget(std::string_view target);

//! Returns the decoded parameter \a name of \a query, or an empty string if there is none.
std::string queryParameter(std::string_view query, std::string_view name);

} // namespace almond::http
