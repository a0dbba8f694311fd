#include "standins/platform_service.h"
#include "standins/standin_process.h"

#include <memory>

//! Stand-in for the platform: serves the key-value store and the host list.
int main(int argc, char **argv)
{
    using namespace almond;
    TCLAP::CmdLine command("Stand-in for the platform's key-value store and host list", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("l", "listen", "address to listen on", true, "", "IP:PORT", command);
    TCLAP::ValueArg<std::int64_t> hostListLag("", "host-lag-ms", "time until a change shows in the host list",
                                              false, 500, "MS", command);
    TCLAP::ValueArg<std::string> record("", "record", "file to which events are appended", false, "", "FILE",
                                        command);
    if (!standins::parseCommandLine(command, argc, argv))
        return 2;
    standins::platform_service platform(kernel::systemNow, kernel::milliseconds(hostListLag.getValue()),
                                        record.getValue());
    std::unique_ptr<http::server> server;
    const auto start = [&](boost::asio::io_context &context) {
        auto handler = [&platform](http::request request) { return platform.handle(std::move(request)); };
        server = std::make_unique<http::server>(context, http::server_limits{}, handler);
        server->listen(listen.getValue());
    };
    return kernel::runProcess(argc, argv, start, [&]() -> kernel::task<void> {
        co_await server->drain(kernel::milliseconds(500));
    });
}
