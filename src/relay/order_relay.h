#pragma once

#include "jobs/worker_api.h"
#include "relay/order_codec.h"
#include "relay/relay_table.h"
#include "relay/transit_delay.h"
#include "wire/peer_link.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace almond::relay {

//! What an order_relay needs from its process.
struct order_relay_dependencies
{
    boost::asio::io_context *context = nullptr;
    wire::peer_link *peers = nullptr;
    //! Peer address of this host.
    std::string ownAddress;
    //! Part of a core that this host has.
    double processorShare = 1.0;
    jobs::worker_api workers;
    //! Peer address of the current owner; empty while it is unknown.
    std::function<std::string()> owner;
    relay_rules rules;
};

//! Relay side: offers this host to the owner, sends the owner's orders to workers, and returns the responses.
//! It makes no decisions. Each order contains the owner's term, and a worker obeys only the newest one.
class order_relay
{
public:
    explicit order_relay(order_relay_dependencies dependencies);

    //! Registers the call with which the owner sends orders. Call once, before listening.
    void provideCalls();
    //! Offers this host to the owner until stop().
    kernel::task<void> run();
    //! Stops offering this host; responses to the orders already received are still returned.
    void stop() { m_stopping = true; }

private:
    nlohmann::json handleOrders(const nlohmann::json &arguments);
    kernel::task<void> executeOrder(std::string owner, relayed_order order);
    void queueResponse(const std::string &owner, const relayed_response &response);
    kernel::task<void> sendBatches(std::string owner);
    kernel::task<jobs::order_response> startRun(relayed_order &order);
    //! Replaces the list of runs in \a relayed by what has changed since the one that the owner knows.
    void shortenList(const relayed_order &order, relayed_response &relayed);
    void keepPayload(const jobs::job_id &job, const std::string &payload);

    struct outbox
    {
        //! The responses that wait, as rows.
        packed_bytes responses;
        std::size_t count = 0;
        bool sending = false;
        batch_pacing pacing;
    };
    //! The last list of a worker's runs that was returned to an owner, in the owner's order.
    struct returned_list
    {
        std::uint64_t poll = 0;
        std::vector<jobs::running_report> running;
    };

    order_relay_dependencies m_dependencies;
    std::map<std::string, outbox> m_outboxes; // by the owner's address
    std::map<std::string, returned_list> m_lists; // by worker id
    std::map<std::string, transit_delay> m_transits; // by the owner's address
    std::map<jobs::job_id, std::string> m_payloads;
    //! The jobs of m_payloads, oldest first.
    std::deque<jobs::job_id> m_payloadOrder;
    bool m_stopping = false;
};

} // namespace almond::relay
