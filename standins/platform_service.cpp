#include "standins/platform_service.h"

#include <QByteArray>
#include <QString>

#include <charconv>

namespace almond::standins {

using http::makeErrorReply;
using http::makeJsonReply;
using http::makeReply;
using http::reply;
using http::status;
using http::verb;
using kernel::task;
using store::store_reply;
using store::store_status;

namespace {

constexpr std::size_t maximumValueBytes = 1024UL * 1024;
constexpr std::size_t defaultRangeLimit = 1000;
constexpr kernel::milliseconds watchPollInterval{5};
constexpr std::string_view keyPrefix = "/kv/";
constexpr std::string_view leasePrefix = "/leases/";
constexpr std::string_view hostPrefix = "/hosts/";

std::int64_t parseInteger(std::string_view text, std::int64_t fallback)
{
    std::int64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string decodePercent(std::string_view text)
{
    return QByteArray::fromPercentEncoding(QByteArray(text.data(), static_cast<qsizetype>(text.size())))
        .toStdString();
}

write_condition parseCondition(const http::request &request)
{
    write_condition condition;
    condition.ifAbsent = http::header(request, "If-None-Match") == "*";
    const std::string_view ifMatch = http::header(request, "If-Match");
    if (ifMatch.size() > 2)
        condition.ifRevision = parseInteger(ifMatch.substr(1, ifMatch.size() - 2), -1);
    return condition;
}

reply makeStoreReply(store_reply result)
{
    if (result.status == store_status::absent)
        return makeErrorReply(status::not_found, "no such key");
    const bool conflict = result.status == store_status::conflict;
    http::reply reply = makeReply(conflict ? status::precondition_failed : status::ok,
                                  std::move(result.value), "application/octet-stream");
    reply.message.set("Kv-Revision", std::to_string(result.revision));
    return reply;
}

bool isWrite(const http::request &request)
{
    return request.method() != verb::get && request.method() != verb::head;
}

std::string_view requestTarget(const http::request &request)
{
    return {request.target().data(), request.target().size()};
}

} // namespace

platform_service::platform_service(kernel::clock_source clock, kernel::milliseconds hostListLag,
                                   const std::string &record)
    : m_clock(std::move(clock))
    , m_hostListLag(hostListLag)
    , m_log(record)
{
}

task<reply> platform_service::handle(http::request request)
{
    const auto [path, query] = http::splitTarget(requestTarget(request));
    if (path.starts_with("/admin/"))
        co_return handleAdmin(request, path);
    ++m_requestCounts[isWrite(request) ? "write" : "read"];
    if (m_faults.delayMs > 0)
        co_await kernel::sleepFor(kernel::milliseconds(m_faults.delayMs));
    // Stand-ins can still register their hosts: an outage affects only the scheduler's requests.
    const bool isRegistration = path.starts_with(hostPrefix);
    if (m_faults.outage && !isRegistration)
        co_return reply{{}, http::reply_action::dropConnection};
    if (path == "/watch")
        co_return co_await handleWatch(std::string(query));
    http::reply reply = dispatch(request, path, query);
    if (isWrite(request) && !isRegistration && m_faults.lostResponses > 0) {
        --m_faults.lostResponses;
        reply.action = http::reply_action::dropConnection;
    }
    if (isWrite(request)) {
        m_log.write("store-write",
                    {{"method", std::string(request.method_string())},
                     {"path", path},
                     {"status", reply.message.result_int()},
                     {"answered", reply.action == http::reply_action::send}});
    }
    co_return reply;
}

reply platform_service::dispatch(const http::request &request, std::string_view path, std::string_view query)
{
    expireLeases(m_state, m_clock());
    if (path.starts_with(keyPrefix))
        return handleKey(request, decodePercent(path.substr(keyPrefix.size())));
    if (path == "/range")
        return handleRange(query);
    if (path.starts_with("/leases"))
        return handleLease(request, path);
    if (path.starts_with("/hosts"))
        return handleHost(request, path, query);
    return makeErrorReply(status::not_found, "no such path");
}

reply platform_service::handleKey(const http::request &request, const std::string &key)
{
    if (request.method() == verb::get)
        return makeStoreReply(getItem(m_state, key));
    if (request.method() == verb::delete_)
        return makeStoreReply(removeItem(m_state, key));
    if (request.method() != verb::put)
        return makeErrorReply(status::method_not_allowed, "use GET, PUT or DELETE");
    if (request.body().size() > maximumValueBytes)
        return makeErrorReply(status::payload_too_large, "a value holds up to one megabyte");
    return makeStoreReply(putItem(m_state, key, request.body(), parseCondition(request),
                                  std::string(http::header(request, "Kv-Lease"))));
}

reply platform_service::handleRange(std::string_view query)
{
    store::key_range range(http::queryParameter(query, "start"), http::queryParameter(query, "end"));
    range.limit = static_cast<std::size_t>(
        parseInteger(http::queryParameter(query, "limit"), static_cast<std::int64_t>(defaultRangeLimit)));
    json items = json::array();
    for (const store::stored_item &item : rangeItems(m_state, range))
        items.push_back({{"key", item.key}, {"value", item.value}, {"revision", item.revision}});
    return makeJsonReply(status::ok, {{"items", items}, {"revision", m_state.revision}});
}

reply platform_service::handleLease(const http::request &request, std::string_view path)
{
    if (request.method() == verb::post) {
        const json body = json::parse(request.body(), nullptr, false);
        if (!body.is_object() || !body.contains("ttlMs"))
            return makeErrorReply(status::bad_request, "ttlMs is missing");
        const kernel::milliseconds ttl(body.at("ttlMs").get<std::int64_t>());
        return makeJsonReply(status::ok, {{"id", grantLease(m_state, ttl, m_clock())}});
    }
    const std::string lease = decodePercent(path.substr(std::min(path.size(), leasePrefix.size())));
    if (request.method() == verb::delete_) {
        revokeLease(m_state, lease);
        return makeReply(status::ok, "");
    }
    const bool renewed = renewLease(m_state, lease, m_clock());
    return renewed ? makeReply(status::ok, "") : makeErrorReply(status::not_found, "no such lease");
}

reply platform_service::handleHost(const http::request &request, std::string_view path,
                                   std::string_view query)
{
    if (request.method() == verb::get)
        return makeJsonReply(
            status::ok,
            hostsSince(m_state, parseInteger(http::queryParameter(query, "after"), 0), m_clock()));
    const std::string id = decodePercent(path.substr(std::min(path.size(), hostPrefix.size())));
    const bool removed = request.method() == verb::delete_;
    const json host = removed ? json() : json::parse(request.body(), nullptr, false);
    if (host.is_discarded())
        return makeErrorReply(status::bad_request, "a host is a JSON object");
    changeHost(m_state, id, host, m_hostListLag, m_clock());
    return makeReply(status::ok, "");
}

task<reply> platform_service::handleWatch(std::string query)
{
    const std::string prefix = http::queryParameter(query, "prefix");
    const std::int64_t after = parseInteger(http::queryParameter(query, "after"), 0);
    const auto deadline
        = m_clock() + kernel::milliseconds(parseInteger(http::queryParameter(query, "timeoutMs"), 1000));
    while (true) {
        expireLeases(m_state, m_clock());
        json items = json::array();
        for (const store::stored_item &item : rangeItems(m_state, store::prefixRange(prefix))) {
            if (item.revision > after)
                items.push_back({{"key", item.key}, {"value", item.value}, {"revision", item.revision}});
        }
        if (!items.empty() || m_clock() >= deadline)
            co_return makeJsonReply(status::ok, {{"items", items}, {"revision", m_state.revision}});
        co_await kernel::sleepFor(watchPollInterval);
    }
}

reply platform_service::handleAdmin(const http::request &request, std::string_view path)
{
    if (path == "/admin/stats") {
        return makeJsonReply(status::ok,
                             {{"calls", m_requestCounts},
                              {"keys", m_state.items.size()},
                              {"leases", m_state.leases.size()},
                              {"hosts", m_state.hosts.size()},
                              {"revision", m_state.revision}});
    }
    const json body = json::parse(request.body(), nullptr, false);
    if (path != "/admin/faults" || !body.is_object())
        return makeErrorReply(status::bad_request, "PUT an object to /admin/faults");
    m_faults.outage = body.value("outage", m_faults.outage);
    m_faults.delayMs = body.value("delayMs", m_faults.delayMs);
    m_faults.lostResponses = body.value("loseAnswers", m_faults.lostResponses);
    return makeReply(status::ok, "");
}

} // namespace almond::standins
