#include "config/peer_config.h"

namespace almond::config {

using kernel::task;

namespace {

constexpr kernel::milliseconds peerTimeout{500};
constexpr const char *methodName = "config.latest";

config_view viewFromJson(const json &value)
{
    config_view view;
    view.version = value.at("version");
    view.document = value.at("document");
    view.confirmedAt = kernel::fromMillis(value.at("confirmedAtMs"));
    settings::findings ignored;
    view.parsed = readDocument(view.document, ignored);
    return view;
}

} // namespace

void provideConfig(wire::peer_link &peers, const config_follower &follower)
{
    peers.provide(methodName, [&follower](json) -> task<json> {
        const config_view_ptr view = follower.view();
        co_return json{{"version", view->version},
                       {"document", view->document},
                       {"confirmedAtMs", kernel::toMillis(view->confirmedAt)}};
    });
}

task<config_view_ptr> newestFromPeers(wire::peer_link &peers, std::vector<std::string> addresses)
{
    config_view_ptr newest;
    for (const std::string &address : addresses) {
        const auto answer = co_await peers.call(address, methodName, json::object(), peerTimeout);
        if (!answer || !answer->is_object())
            continue;
        auto view = std::make_shared<const config_view>(viewFromJson(*answer));
        if (!newest || view->version > newest->version)
            newest = std::move(view);
    }
    co_return newest;
}

} // namespace almond::config
