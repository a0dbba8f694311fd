#include "standins/host_registration.h"

namespace almond::standins {

namespace {

constexpr kernel::milliseconds callTimeout{1000};
constexpr kernel::milliseconds retryDelay{100};
constexpr int attempts = 50;

} // namespace

kernel::task<void> registerHost(http::connection_pool &pool, std::string platform, nlohmann::json host)
{
    const std::string path = "/hosts/" + host.at("id").get<std::string>();
    for (int attempt = 0; attempt < attempts; ++attempt) {
        http::request message(http::verb::put, path, 11);
        message.set(http::field::host, platform);
        message.body() = host.dump();
        const http::exchange_result result
            = co_await pool.exchange(platform, std::move(message), callTimeout);
        if (result.status == http::exchange_status::answered)
            co_return;
        co_await kernel::sleepFor(retryDelay);
    }
}

} // namespace almond::standins
