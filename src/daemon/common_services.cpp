#include "daemon/common_services.h"

#include "config/peer_config.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace almond::daemon {

namespace {

constexpr std::size_t instanceSuffixLength = 8;

} // namespace

void registerCommonServices(kernel::registry &services, boost::asio::io_context &context,
                            const settings::common_settings &settings, std::uint64_t snapshotAfter)
{
    const auto clock = std::make_shared<kernel::clock_source>(kernel::systemNow);
    const auto store = std::make_shared<store::http_store>(settings.storeAddress, settings.storeTimeout);
    const auto peers = std::make_shared<wire::peer_link>(context);
    const auto askPeers
        = [peers, addresses = settings.schedulers]() -> kernel::task<config::config_view_ptr> {
        return config::newestFromPeers(*peers, addresses);
    };
    const config::follower_settings follow{settings.configPollInterval, snapshotAfter};
    const auto follower = std::make_shared<config::config_follower>(store->api(), *clock, follow, askPeers);
    config::provideConfig(*peers, *follower);
    services.provide(service_name::clock, clock);
    services.provide(service_name::store, store);
    services.provide(service_name::hosts,
                     std::make_shared<store::host_list>(*store, settings.hostPollInterval));
    services.provide(service_name::peers, peers);
    services.provide(service_name::config, follower);
    services.provide(service_name::metrics, std::make_shared<prometheus::Registry>());
}

void startCommonServices(const kernel::registry &services, boost::asio::io_context &context)
{
    kernel::spawn(context.get_executor(),
                  services.find<config::config_follower>(service_name::config)->run());
    kernel::spawn(context.get_executor(), services.find<store::host_list>(service_name::hosts)->run());
}

nlohmann::json dumpCommonState(const kernel::registry &services, const settings::common_settings &settings)
{
    const config::config_view_ptr view = services.find<config::config_follower>(service_name::config)->view();
    const store::store_counters &calls = services.find<store::http_store>(service_name::store)->counters();
    const auto hosts = services.find<store::host_list>(service_name::hosts);
    return {{"id", settings.id},
            {"version", ALMOND_VERSION},
            {"failureDomain", settings.failureDomain},
            {"config",
             {{"version", view->version},
              {"confirmedAtMs", kernel::toMillis(view->confirmedAt)},
              {"document", view->document}}},
            {"store", {{"reads", calls.reads}, {"writes", calls.writes}, {"unavailable", calls.unavailable}}},
            {"hosts", hosts->hosts().size()}};
}

void exportCommonMetrics(const kernel::registry &services, observe::counter_export &metrics)
{
    const auto store = services.find<store::http_store>(service_name::store);
    const auto config = services.find<config::config_follower>(service_name::config);
    metrics.counter("almond_store_reads_total", "Reads sent to the platform's store",
                    [store] { return store->counters().reads; });
    metrics.counter("almond_store_writes_total", "Writes sent to the platform's store",
                    [store] { return store->counters().writes; });
    metrics.counter("almond_store_unavailable_total", "Calls without an answer",
                    [store] { return store->counters().unavailable; });
    metrics.gauge("almond_config_version", "Version of the configuration in force",
                  [config] { return static_cast<double>(config->view()->version); });
}

std::string makeInstanceName(const std::string &id)
{
    const std::string unique = to_string(boost::uuids::random_generator()());
    return id + "-" + unique.substr(0, instanceSuffixLength);
}

} // namespace almond::daemon
