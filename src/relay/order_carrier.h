#pragma once

#include "jobs/worker_api.h"
#include "relay/order_codec.h"
#include "relay/relay_table.h"
#include "wire/peer_link.h"

#include <functional>
#include <map>
#include <string>

namespace almond::relay {

//! What the carrying side needs.
struct carrier_context
{
    boost::asio::io_context *context = nullptr;
    wire::peer_link *peers = nullptr;
    //! Peer address of this host.
    std::string ownAddress;
    double processorShare = 1.0;
    jobs::worker_api workers;
    //! Peer address of the present owner; empty while none is known.
    std::function<std::string()> owner;
    relay_rules rules;
};

//! The other side: offers this host to the owner, hands its orders to workers, and brings the answers back.
//! It decides nothing; a worker obeys only the newest owner's term, which each order carries.
class order_carrier
{
public:
    explicit order_carrier(carrier_context context);

    //! Registers the call that brings orders. Once, before listening.
    void provideCalls();
    //! Offers this host to the owner until stop().
    kernel::task<void> run();
    //! Offers no more; orders in hand are still answered.
    void stop() { m_stopping = true; }

private:
    nlohmann::json takeOrders(const nlohmann::json &arguments);
    kernel::task<void> carryOut(std::string owner, carried_order order);
    void bring(const std::string &owner, const carried_answer &answer);
    kernel::task<void> flush(std::string owner);

    struct outbox
    {
        nlohmann::json answers = nlohmann::json::array();
        bool travelling = false;
    };

    carrier_context m_context;
    std::map<std::string, outbox> m_outboxes; // by owner
    bool m_stopping = false;
};

} // namespace almond::relay
