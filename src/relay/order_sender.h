#pragma once

#include "jobs/worker_api.h"
#include "kernel/completion.h"
#include "relay/order_codec.h"
#include "relay/relay_table.h"
#include "wire/peer_link.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace almond::relay {

struct relay_counters
{
    std::uint64_t direct = 0;
    std::uint64_t carried = 0;
    //! Carried orders whose host was lost before their answer.
    std::uint64_t abandoned = 0;
};

//! What the owner's side of the relaying needs.
struct sender_context
{
    boost::asio::io_context *context = nullptr;
    wire::peer_link *peers = nullptr;
    //! Address at which this process takes the answers.
    std::string ownAddress;
    double processorShare = 1.0;
    //! Orders that this process sends by itself.
    jobs::worker_api direct;
    kernel::clock_source clock;
    std::function<std::size_t()> workerCount;
    relay_rules rules;
};

//! The owner's side: sends orders to workers itself or through other hosts that have offered, many in one
//! message. An order whose host is lost has an unknown outcome, like any order without an answer; the next
//! one to that worker takes another way.
class order_sender
{
public:
    explicit order_sender(sender_context context);

    //! Registers the calls through which hosts offer themselves and bring answers. Once, before listening.
    void provideCalls();
    jobs::worker_api port();
    const relay_counters &counters() const { return m_counters; }
    std::size_t usableHosts() const;

private:
    struct pending_order;
    using pending_ptr = std::shared_ptr<pending_order>;
    struct outbox
    {
        nlohmann::json orders = nlohmann::json::array();
        bool travelling = false;
    };

    //! The host that carries orders to \a target now; empty when they go directly. Counts the order.
    std::string carrierOf(const jobs::order_target &target);
    kernel::task<jobs::poll_response> carry(std::string host, carried_order order);
    kernel::task<void> flush(std::string host);
    nlohmann::json takeAnswers(const nlohmann::json &arguments);
    nlohmann::json takeOffer(const nlohmann::json &arguments);
    void dropSilentHosts();
    void abandon(const std::string &host);

    sender_context m_context;
    relay_table m_table;
    //! Chosen anew when a host comes, goes or is suspended, and now and then.
    std::vector<std::string> m_carriers;
    time_point m_chosenAt{};
    std::map<std::string, outbox> m_outboxes;
    std::map<std::uint64_t, pending_ptr> m_pending;
    std::uint64_t m_next;
    relay_counters m_counters;
};

} // namespace almond::relay
