#include "store/http_store.h"

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QUrl>
#include <QUrlQuery>

#include <boost/asio/async_result.hpp>

#include <map>

namespace almond::store {

namespace asio = boost::asio;
using json = nlohmann::json;
using kernel::task;

namespace {

struct http_answer
{
    //! Status code; 0 without a response.
    int code = 0;
    std::string body;
    std::int64_t revision = 0;
};

struct http_call
{
    QByteArray method;
    std::string path;
    std::string body;
    std::map<QByteArray, QByteArray> headers;
};

store_status statusOf(const http_answer &answer)
{
    if (answer.code == 200)
        return store_status::ok;
    if (answer.code == 404)
        return store_status::absent;
    if (answer.code == 412)
        return store_status::conflict;
    return store_status::unavailable;
}

store_reply replyOf(http_answer answer)
{
    return {statusOf(answer), std::move(answer.body), answer.revision};
}

std::string escaped(const std::string &text)
{
    return QUrl::toPercentEncoding(QString::fromStdString(text)).toStdString();
}

std::string keyPath(const std::string &key)
{
    return "/kv/" + escaped(key);
}

listed_host hostOf(const json &item)
{
    return {item.at("id"),
            item.at("role"),
            item.value("service", ""),
            item.at("address"),
            item.at("failureDomain"),
            item.value("rack", ""),
            item.value("leaving", false),
            item.value("capacity", json::object())};
}

} // namespace

struct http_store::transport
{
    task<http_answer> call(http_call request);
    task<http_answer> call(QByteArray method, std::string path, std::string body = {});
    http_answer finish(QNetworkReply &reply);

    QNetworkAccessManager manager;
    std::string base;
    kernel::milliseconds timeout{0};
    store_counters counters;
};

http_answer http_store::transport::finish(QNetworkReply &reply)
{
    http_answer answer;
    answer.code = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    answer.body = reply.readAll().toStdString();
    answer.revision = reply.rawHeader("Kv-Revision").toLongLong();
    const bool aborted = reply.error() == QNetworkReply::OperationCanceledError
        || reply.error() == QNetworkReply::RemoteHostClosedError;
    if (aborted)
        answer.code = 0;
    if (answer.code == 0 || answer.code >= 500)
        ++counters.unavailable;
    return answer;
}

task<http_answer> http_store::transport::call(http_call request)
{
    if (request.method == "GET")
        ++counters.reads;
    else
        ++counters.writes;
    QNetworkRequest message(QUrl(QString::fromStdString(base + request.path), QUrl::StrictMode));
    message.setTransferTimeout(static_cast<int>(timeout.count()));
    message.setHeader(QNetworkRequest::ContentTypeHeader, QByteArrayLiteral("application/octet-stream"));
    for (const auto &[name, value] : request.headers)
        message.setRawHeader(name, value);
    QNetworkReply *reply
        = manager.sendCustomRequest(message, request.method, QByteArray::fromStdString(request.body));
    auto initiate = [this, reply](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        QObject::connect(reply, &QNetworkReply::finished, [this, reply, shared] {
            http_answer answer = finish(*reply);
            reply->deleteLater();
            (*shared)(std::move(answer));
        });
    };
    co_return co_await asio::async_initiate<decltype(asio::use_awaitable), void(http_answer)>(
        initiate, asio::use_awaitable);
}

task<http_answer> http_store::transport::call(QByteArray method, std::string path, std::string body)
{
    http_call request;
    request.method = std::move(method);
    request.path = std::move(path);
    request.body = std::move(body);
    return call(std::move(request));
}

http_store::http_store(const std::string &address, kernel::milliseconds timeout)
    : m_transport(std::make_unique<transport>())
{
    m_transport->base = "http://" + address;
    m_transport->timeout = timeout;
}

http_store::~http_store() = default;

const store_counters &http_store::counters() const
{
    return m_transport->counters;
}

store_api http_store::api()
{
    transport *link = m_transport.get();
    store_api api;
    api.get = [link](std::string key) -> task<store_reply> {
        co_return replyOf(co_await link->call("GET", keyPath(key)));
    };
    api.range = [link](key_range range) -> task<range_reply> {
        const std::string path = "/range?start=" + escaped(range.start) + "&end=" + escaped(range.end)
            + "&limit=" + std::to_string(range.limit);
        const http_answer answer = co_await link->call("GET", path);
        range_reply reply{statusOf(answer), {}};
        if (reply.status != store_status::ok)
            co_return reply;
        const json parsed = json::parse(answer.body);
        for (const json &item : parsed.at("items"))
            reply.items.push_back({item.at("key"), item.at("value"), item.at("revision")});
        co_return reply;
    };
    api.create = [link](std::string key, std::string value, std::string lease) -> task<store_reply> {
        http_call call{"PUT", keyPath(key), std::move(value), {}};
        call.headers["If-None-Match"] = "*";
        if (!lease.empty())
            call.headers["Kv-Lease"] = QByteArray::fromStdString(lease);
        co_return replyOf(co_await link->call(std::move(call)));
    };
    api.replace = [link](std::string key, std::string value, std::int64_t revision) -> task<store_reply> {
        const QByteArray expected = '"' + QByteArray::number(static_cast<qlonglong>(revision)) + '"';
        http_call call{"PUT", keyPath(key), std::move(value), {}};
        call.headers["If-Match"] = expected;
        co_return replyOf(co_await link->call(std::move(call)));
    };
    api.remove = [link](std::string key) -> task<store_reply> {
        co_return replyOf(co_await link->call("DELETE", keyPath(key)));
    };
    api.grantLease = [link](kernel::milliseconds ttl) -> task<store_reply> {
        json fields;
        fields["ttlMs"] = ttl.count();
        const std::string body = fields.dump();
        http_answer answer = co_await link->call("POST", "/leases", body);
        if (answer.code == 200)
            answer.body = json::parse(answer.body).at("id").get<std::string>();
        co_return replyOf(std::move(answer));
    };
    api.keepAlive = [link](std::string lease) -> task<store_reply> {
        co_return replyOf(co_await link->call("PUT", "/leases/" + escaped(lease)));
    };
    api.revokeLease = [link](std::string lease) -> task<store_reply> {
        co_return replyOf(co_await link->call("DELETE", "/leases/" + escaped(lease)));
    };
    return api;
}

task<host_changes> http_store::hostsSince(std::int64_t revision)
{
    const std::string path = "/hosts?after=" + std::to_string(revision);
    const http_answer answer = co_await m_transport->call("GET", path);
    host_changes changes;
    changes.status = statusOf(answer);
    if (changes.status != store_status::ok)
        co_return changes;
    const json parsed = json::parse(answer.body);
    changes.revision = parsed.at("revision");
    for (const json &item : parsed.at("hosts"))
        changes.changed.push_back(hostOf(item));
    for (const json &item : parsed.at("removed"))
        changes.removed.push_back(item.get<std::string>());
    co_return changes;
}

} // namespace almond::store
