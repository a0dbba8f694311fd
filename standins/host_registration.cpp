#include "standins/host_registration.h"

namespace almond::standins {

namespace {

constexpr kernel::milliseconds callTimeout{1000};
constexpr kernel::milliseconds retryDelay{100};
constexpr int maximumAttempts = 50;

} // namespace

kernel::task<void> registerHost(http::connection_pool &pool, std::string platform, nlohmann::json host)
{
    const std::string path = "/hosts/" + host.at("id").get<std::string>();
    for (int attempt = 0; attempt < maximumAttempts; ++attempt) {
        http::request request(http::verb::put, path, 11);
        request.set(http::field::host, platform);
        request.body() = host.dump();
        const http::exchange_result result
            = co_await pool.exchange(platform, std::move(request), callTimeout);
        if (result.status == http::exchange_status::answered)
            co_return;
        co_await kernel::sleepFor(retryDelay);
    }
}

} // namespace almond::standins
