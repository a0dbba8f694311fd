#include "standins/platform_service.h"
#include "standins/standin_process.h"

#include <memory>

//! The stand-in of the platform: key-value service and host list.
int main(int argc, char **argv)
{
    using namespace almond;
    TCLAP::CmdLine command("Stand-in of the platform's key-value service and host list", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("l", "listen", "address", true, "", "IP:PORT", command);
    TCLAP::ValueArg<std::int64_t> lag("", "host-lag-ms", "lag of the host list", false, 500, "MS", command);
    TCLAP::ValueArg<std::string> record("", "record", "file for the record", false, "", "FILE", command);
    if (!standins::parseCommandLine(command, argc, argv))
        return 2;
    standins::platform_service platform(kernel::systemNow, kernel::milliseconds(lag.getValue()),
                                        record.getValue());
    std::unique_ptr<http::server> server;
    const auto start = [&](boost::asio::io_context &context) {
        auto handle = [&platform](http::request asked) { return platform.handle(std::move(asked)); };
        server = std::make_unique<http::server>(context, http::server_limits{}, handle);
        server->listen(listen.getValue());
    };
    return kernel::runProcess(argc, argv, start, [&]() -> kernel::task<void> {
        co_await server->drain(kernel::milliseconds(500));
    });
}
