#include "http/address.h"
#include "http/server.h"
#include "standins/record_log.h"
#include "standins/standin_process.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <list>
#include <memory>

namespace {

using namespace almond;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t bufferBytes = 64UL * 1024;
constexpr kernel::milliseconds silentPollInterval{20};

//! What the relay does to its link, switched at PUT /admin/faults.
struct relay_faults
{
    //! New connections are closed at once.
    bool cut = false;
    //! Added to each block of bytes, in milliseconds.
    std::int64_t delayMs = 0;
};

//! One connection through the relay.
struct relay_pair
{
    explicit relay_pair(tcp::socket accepted)
        : near(std::move(accepted))
        , far(near.get_executor())
    {
    }
    tcp::socket near;
    tcp::socket far;
    //! Takes bytes in and passes none on, for good.
    bool silent = false;
};

//! The parts of the relay that live as long as its process.
struct relay_process
{
    std::string target;
    relay_faults faults;
    std::unique_ptr<standins::record_log> log;
    std::list<std::weak_ptr<relay_pair>> pairs;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::unique_ptr<http::server> admin;
};

void closeBoth(relay_pair &pair)
{
    boost::system::error_code ignored;
    pair.near.close(ignored);
    pair.far.close(ignored);
}

kernel::task<void> pump(relay_process &relay, std::shared_ptr<relay_pair> pair, tcp::socket &from,
                        tcp::socket &to)
{
    std::vector<char> buffer(bufferBytes);
    boost::system::error_code error;
    auto into = asio::redirect_error(asio::use_awaitable, error);
    while (true) {
        const std::size_t received = co_await from.async_read_some(asio::buffer(buffer), into);
        if (relay.faults.delayMs > 0)
            co_await kernel::sleepFor(kernel::milliseconds(relay.faults.delayMs));
        while (pair->silent)
            co_await kernel::sleepFor(silentPollInterval);
        if (error)
            break;
        co_await asio::async_write(to, asio::buffer(buffer.data(), received), into);
        if (error)
            break;
    }
    boost::system::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
}

kernel::task<void> forward(relay_process &relay, std::shared_ptr<relay_pair> pair)
{
    const http::host_port target = http::splitAddress(relay.target);
    boost::system::error_code error;
    co_await pair->far.async_connect({asio::ip::make_address(target.host), target.port},
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        closeBoth(*pair);
        co_return;
    }
    const auto executor = co_await asio::this_coro::executor;
    kernel::spawn(executor, pump(relay, pair, pair->near, pair->far));
    kernel::spawn(executor, pump(relay, pair, pair->far, pair->near));
}

kernel::task<void> acceptLoop(relay_process &relay)
{
    const auto executor = co_await asio::this_coro::executor;
    while (true) {
        auto pair = std::make_shared<relay_pair>(co_await relay.acceptor->async_accept(asio::use_awaitable));
        if (relay.faults.cut)
            continue;
        relay.pairs.remove_if([](const auto &place) { return place.expired(); });
        relay.pairs.push_back(pair);
        kernel::spawn(executor, forward(relay, std::move(pair)));
    }
}

void applyToOpen(relay_process &relay, bool cut, bool silence)
{
    for (const auto &place : relay.pairs) {
        const auto pair = place.lock();
        if (pair && cut)
            closeBoth(*pair);
        if (pair && silence)
            pair->silent = true;
    }
}

kernel::task<http::reply> handle(relay_process &relay, http::request asked)
{
    const auto body = nlohmann::json::parse(asked.body(), nullptr, false);
    if (asked.target() != "/admin/faults" || !body.is_object())
        co_return http::makeErrorReply(http::status::bad_request, "PUT an object to /admin/faults");
    relay.faults.cut = body.value("cut", relay.faults.cut);
    relay.faults.delayMs = body.value("delayMs", relay.faults.delayMs);
    relay.log->write("link-faults", {{"target", relay.target}, {"faults", body}});
    applyToOpen(relay, relay.faults.cut, body.value("silenceOpen", false));
    co_return http::makeReply(http::status::ok, "");
}

} // namespace

//! A TCP relay that cuts, delays or silences a link.
int main(int argc, char **argv)
{
    TCLAP::CmdLine command("TCP relay that cuts, delays or silences a link", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("l", "listen", "address", true, "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> target("t", "target", "where it relays to", true, "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> admin("a", "admin", "address for /admin/faults", true, "", "IP:PORT",
                                       command);
    TCLAP::ValueArg<std::string> record("", "record", "file for the record", false, "", "FILE", command);
    if (!standins::parseCommandLine(command, argc, argv))
        return 2;
    relay_process relay;
    relay.target = target.getValue();
    relay.log = std::make_unique<standins::record_log>(record.getValue());
    const auto start = [&](asio::io_context &context) {
        const http::host_port own = http::splitAddress(listen.getValue());
        relay.acceptor = std::make_unique<tcp::acceptor>(
            context, tcp::endpoint(asio::ip::make_address(own.host), own.port));
        auto answer = [&relay](http::request asked) { return handle(relay, std::move(asked)); };
        relay.admin = std::make_unique<http::server>(context, http::server_limits{}, answer);
        relay.admin->listen(admin.getValue());
        kernel::spawn(context.get_executor(), acceptLoop(relay));
    };
    return kernel::runProcess(argc, argv, start, []() -> kernel::task<void> { co_return; });
}
