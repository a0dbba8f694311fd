#pragma once

#include "fleet/owner_time.h"
#include "jobs/worker_api.h"
#include "kernel/loop_lag.h"
#include "relay/order_codec.h"
#include "relay/relay_table.h"
#include "wire/peer_link.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace almond::relay {

struct relay_counters
{
    //! Orders that this process sent to workers itself.
    std::uint64_t direct = 0;
    //! Orders that were sent through relays.
    std::uint64_t viaRelay = 0;
    //! Relayed orders whose relay was lost before their response.
    std::uint64_t abandoned = 0;
    //! Start orders that were sent again with their payload.
    std::uint64_t payloadsRepeated = 0;
    //! Batches whose receipt was late, from a relay that sent other messages meanwhile, or while the own loop
    //! lagged.
    std::uint64_t lateReceipts = 0;
    //! Starts that were not sent because their permission ended while they waited.
    std::uint64_t expired = 0;
};

//! What an order_dispatcher needs from its process.
struct order_dispatcher_dependencies
{
    boost::asio::io_context *context = nullptr;
    wire::peer_link *peers = nullptr;
    //! Peer address to which relays return responses.
    std::string ownAddress;
    //! Part of a core that this host has.
    double processorShare = 1.0;
    //! Sends orders directly to workers.
    jobs::worker_api direct;
    kernel::clock_source clock;
    std::function<std::size_t()> workerCount;
    //! Lag of the own loop, so that it is not taken for the silence of relays and workers; may be empty.
    kernel::lag_source ownLag;
    //! Null if the time is not measured; must outlive the dispatcher otherwise.
    fleet::owner_time *times = nullptr;
    relay_rules rules;
};

//! Owner side: sends orders to workers directly or through relays, hosts that have offered to forward them,
//! many in one message. A relay gets the payload of a job once, and returns what has changed in a worker's
//! list of runs. If a relay is lost, the outcome of its orders is unknown, as for any order without a
//! response; the next order to the same worker goes directly or through another relay.
class order_dispatcher
{
public:
    explicit order_dispatcher(order_dispatcher_dependencies dependencies);

    //! Registers the calls with which hosts offer themselves and return responses. Call once, before
    //! listening.
    void provideCalls();
    jobs::worker_api port();
    const relay_counters &counters() const { return m_counters; }
    std::size_t usableRelays() const;

private:
    struct pending_order;
    using pending_ptr = std::shared_ptr<pending_order>;
    //! An order that is to be sent to a relay.
    struct queued_order
    {
        std::uint64_t number = 0;
        packed_bytes row;
        time_point notAfter = time_point::max();
    };
    //! What is sent to one relay.
    struct outbox
    {
        std::vector<queued_order> orders;
        bool sending = false;
        //! The newest receipt was missing while the own loop lagged.
        bool isExcused = false;
        batch_pacing pacing;
        //! Jobs whose payload the relay has been sent.
        std::set<jobs::job_id> payloadsSent;
    };
    //! The last list of runs of a worker, and the poll with which it came.
    struct known_list
    {
        std::string relay;
        std::uint64_t poll = 0;
        std::vector<jobs::running_report> running;
    };

    //! The relay for an order to \a target; empty if it is sent directly. Counts the order.
    std::string relayForOrder(const jobs::order_target &target);
    //! Sends \a order, whose number it sets, to \a host and awaits the response. The caller keeps both until
    //! the end.
    kernel::task<jobs::poll_response> sendThroughRelay(const std::string &host, relayed_order &order);
    kernel::task<jobs::order_response> startThroughRelay(const std::string &host, relayed_order order);
    //! Queues \a order for \a host.
    pending_ptr queueOrder(const std::string &host, const relayed_order &order);
    kernel::task<void> sendBatches(std::string host);
    kernel::task<void> sendBatch(std::string host);
    //! Empties \a box and returns its orders as rows. Orders whose permission has ended are completed as
    //! expired.
    packed_bytes takeOrders(outbox &box);
    void handleMissingReceipt(const std::string &host, time_point sentAt, milliseconds timeout);
    //! The rules with offers valid for longer by the lag of the own loop: they may lie unread.
    relay_rules rulesDespiteLag(time_point now) const;
    //! Completes the list of the worker's runs in \a response from the one that it is based on. Returns false
    //! if that one is not known here.
    bool completeList(const std::string &workerId, const std::string &relay, relayed_response &response);
    std::uint64_t knownListOf(const std::string &workerId, const std::string &relay) const;
    bool isNeeded(const std::string &address, time_point now) const;
    nlohmann::json handleResponses(const nlohmann::json &arguments);
    nlohmann::json handleOffer(const nlohmann::json &arguments);
    void removeExpiredHosts();
    void abandon(const std::string &host);

    order_dispatcher_dependencies m_dependencies;
    relay_table m_table;
    //! Chosen again if a host expires or is suspended, and after each reselectionInterval.
    chosen_relays m_relays;
    time_point m_relaysChosenAt{};
    std::map<std::string, outbox> m_outboxes;
    std::unordered_map<std::string, known_list> m_lists; // by worker id
    std::unordered_map<std::uint64_t, pending_ptr> m_pending;
    //! Number of this process, unique among all owners.
    std::uint64_t m_process;
    std::uint64_t m_nextNumber;
    relay_counters m_counters;
};

} // namespace almond::relay
