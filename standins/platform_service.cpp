#include "standins/platform_service.h"

#include <QByteArray>
#include <QString>

#include <charconv>

namespace almond::standins {

using http::makeErrorReply;
using http::makeJsonReply;
using http::makeReply;
using http::reply;
using http::request;
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

std::int64_t toInteger(std::string_view text, std::int64_t fallback)
{
    std::int64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string decoded(std::string_view text)
{
    return QByteArray::fromPercentEncoding(QByteArray(text.data(), static_cast<qsizetype>(text.size())))
        .toStdString();
}

write_condition conditionOf(const request &asked)
{
    write_condition condition;
    condition.ifAbsent = http::header(asked, "If-None-Match") == "*";
    const std::string_view match = http::header(asked, "If-Match");
    if (match.size() > 2)
        condition.ifRevision = toInteger(match.substr(1, match.size() - 2), -1);
    return condition;
}

reply replyFor(store_reply result)
{
    if (result.status == store_status::absent)
        return makeErrorReply(status::not_found, "no such key");
    const bool conflict = result.status == store_status::conflict;
    reply answer = makeReply(conflict ? status::precondition_failed : status::ok, std::move(result.value),
                             "application/octet-stream");
    answer.message.set("Kv-Revision", std::to_string(result.revision));
    return answer;
}

bool isWrite(const request &asked)
{
    return asked.method() != verb::get && asked.method() != verb::head;
}

std::string_view targetOf(const request &asked)
{
    return {asked.target().data(), asked.target().size()};
}

} // namespace

platform_service::platform_service(kernel::clock_source clock, kernel::milliseconds hostListLag,
                                   const std::string &record)
    : m_clock(std::move(clock))
    , m_hostListLag(hostListLag)
    , m_log(record)
{
}

task<reply> platform_service::handle(request asked)
{
    const auto [path, query] = http::splitTarget(targetOf(asked));
    if (path.starts_with("/admin/"))
        co_return handleAdmin(asked, path);
    ++m_calls[isWrite(asked) ? "write" : "read"];
    if (m_faults.delayMs > 0)
        co_await kernel::sleepFor(kernel::milliseconds(m_faults.delayMs));
    // The stand-ins' own registration stays possible: an outage concerns the scheduler's calls.
    const bool registration = path.starts_with(hostPrefix);
    if (m_faults.outage && !registration)
        co_return reply{{}, http::reply_action::dropConnection};
    if (path == "/watch")
        co_return co_await handleWatch(std::string(query));
    reply answer = dispatch(asked, path, query);
    if (isWrite(asked) && !registration && m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        answer.action = http::reply_action::dropConnection;
    }
    if (isWrite(asked)) {
        m_log.write("store-write",
                    {{"method", std::string(asked.method_string())},
                     {"path", path},
                     {"status", answer.message.result_int()},
                     {"answered", answer.action == http::reply_action::send}});
    }
    co_return answer;
}

reply platform_service::dispatch(const request &asked, std::string_view path, std::string_view query)
{
    expireLeases(m_state, m_clock());
    if (path.starts_with(keyPrefix))
        return handleKey(asked, decoded(path.substr(keyPrefix.size())));
    if (path == "/range")
        return handleRange(query);
    if (path.starts_with("/leases"))
        return handleLease(asked, path);
    if (path.starts_with("/hosts"))
        return handleHost(asked, path, query);
    return makeErrorReply(status::not_found, "no such path");
}

reply platform_service::handleKey(const request &asked, const std::string &key)
{
    if (asked.method() == verb::get)
        return replyFor(getItem(m_state, key));
    if (asked.method() == verb::delete_)
        return replyFor(removeItem(m_state, key));
    if (asked.method() != verb::put)
        return makeErrorReply(status::method_not_allowed, "use GET, PUT or DELETE");
    if (asked.body().size() > maximumValueBytes)
        return makeErrorReply(status::payload_too_large, "a value holds up to one megabyte");
    return replyFor(putItem(m_state, key, asked.body(), conditionOf(asked),
                            std::string(http::header(asked, "Kv-Lease"))));
}

reply platform_service::handleRange(std::string_view query)
{
    store::key_range range(http::queryParameter(query, "start"), http::queryParameter(query, "end"));
    range.limit = static_cast<std::size_t>(
        toInteger(http::queryParameter(query, "limit"), static_cast<std::int64_t>(defaultRangeLimit)));
    json items = json::array();
    for (const store::stored_item &item : rangeItems(m_state, range))
        items.push_back({{"key", item.key}, {"value", item.value}, {"revision", item.revision}});
    return makeJsonReply(status::ok, {{"items", items}, {"revision", m_state.revision}});
}

reply platform_service::handleLease(const request &asked, std::string_view path)
{
    if (asked.method() == verb::post) {
        const json body = json::parse(asked.body(), nullptr, false);
        if (!body.is_object() || !body.contains("ttlMs"))
            return makeErrorReply(status::bad_request, "ttlMs is missing");
        const kernel::milliseconds ttl(body.at("ttlMs").get<std::int64_t>());
        return makeJsonReply(status::ok, {{"id", grantLease(m_state, ttl, m_clock())}});
    }
    const std::string lease = decoded(path.substr(std::min(path.size(), leasePrefix.size())));
    if (asked.method() == verb::delete_) {
        revokeLease(m_state, lease);
        return makeReply(status::ok, "");
    }
    const bool kept = keepLease(m_state, lease, m_clock());
    return kept ? makeReply(status::ok, "") : makeErrorReply(status::not_found, "no such lease");
}

reply platform_service::handleHost(const request &asked, std::string_view path, std::string_view query)
{
    if (asked.method() == verb::get)
        return makeJsonReply(
            status::ok, hostsSince(m_state, toInteger(http::queryParameter(query, "after"), 0), m_clock()));
    const std::string id = decoded(path.substr(std::min(path.size(), hostPrefix.size())));
    const bool removed = asked.method() == verb::delete_;
    const json host = removed ? json() : json::parse(asked.body(), nullptr, false);
    if (host.is_discarded())
        return makeErrorReply(status::bad_request, "a host is a JSON object");
    changeHost(m_state, id, host, m_hostListLag, m_clock());
    return makeReply(status::ok, "");
}

task<reply> platform_service::handleWatch(std::string query)
{
    const std::string prefix = http::queryParameter(query, "prefix");
    const std::int64_t after = toInteger(http::queryParameter(query, "after"), 0);
    const auto end
        = m_clock() + kernel::milliseconds(toInteger(http::queryParameter(query, "timeoutMs"), 1000));
    while (true) {
        expireLeases(m_state, m_clock());
        json items = json::array();
        for (const store::stored_item &item : rangeItems(m_state, store::prefixRange(prefix))) {
            if (item.revision > after)
                items.push_back({{"key", item.key}, {"value", item.value}, {"revision", item.revision}});
        }
        if (!items.empty() || m_clock() >= end)
            co_return makeJsonReply(status::ok, {{"items", items}, {"revision", m_state.revision}});
        co_await kernel::sleepFor(watchPollInterval);
    }
}

reply platform_service::handleAdmin(const request &asked, std::string_view path)
{
    if (path == "/admin/stats") {
        return makeJsonReply(status::ok,
                             {{"calls", m_calls},
                              {"keys", m_state.items.size()},
                              {"leases", m_state.leases.size()},
                              {"hosts", m_state.hosts.size()},
                              {"revision", m_state.revision}});
    }
    const json body = json::parse(asked.body(), nullptr, false);
    if (path != "/admin/faults" || !body.is_object())
        return makeErrorReply(status::bad_request, "PUT an object to /admin/faults");
    m_faults.outage = body.value("outage", m_faults.outage);
    m_faults.delayMs = body.value("delayMs", m_faults.delayMs);
    m_faults.loseAnswers = body.value("loseAnswers", m_faults.loseAnswers);
    return makeReply(status::ok, "");
}

} // namespace almond::standins
