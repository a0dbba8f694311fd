#include "observe/operator_page.h"

#include "http/address.h"

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerResponse>

#include <prometheus/text_serializer.h>

#include <stdexcept>

namespace almond::observe {

namespace {

constexpr int dumpIndent = 2;

QHttpServerResponse text(const std::string &body, QHttpServerResponse::StatusCode status)
{
    return {QByteArrayLiteral("text/plain"), QByteArray::fromStdString(body), status};
}

} // namespace

operator_page::operator_page(operator_view view)
    : m_view(std::move(view))
    , m_server(std::make_unique<QHttpServer>())
{
    using status_code = QHttpServerResponse::StatusCode;
    m_server->route("/health", [] { return text("ok\n", status_code::Ok); });
    m_server->route("/ready", [this] {
        const bool ready = m_view.ready();
        return ready ? text("ready\n", status_code::Ok)
                     : text("not ready\n", status_code::ServiceUnavailable);
    });
    m_server->route("/metrics", [this] {
        m_view.beforeMetrics();
        return text(prometheus::TextSerializer().Serialize(m_view.metrics->Collect()), status_code::Ok);
    });
    m_server->route("/dump", [this] {
        const std::string body = m_view.dump().dump(dumpIndent) + "\n";
        return QHttpServerResponse(QByteArrayLiteral("application/json"), QByteArray::fromStdString(body));
    });
}

operator_page::~operator_page() = default;

void operator_page::listen(const std::string &address)
{
    const http::host_port target = http::splitAddress(address);
    const QHostAddress host(QString::fromStdString(target.host));
    if (m_server->listen(host, target.port) == 0)
        throw std::runtime_error("can't listen on operator address " + address);
}

} // namespace almond::observe
