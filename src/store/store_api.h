#pragma once

#include "kernel/task.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace almond::store {

//! How a call to the platform's key-value service ended.
enum class store_status {
    ok,
    absent,
    //! The condition of a write did not hold; nothing was written.
    conflict,
    //! The service turned the call away; nothing was done.
    refused,
    //! No answer. A write may have taken effect or not.
    unavailable
};

struct store_reply
{
    store_status status = store_status::unavailable;
    std::string value;
    std::int64_t revision = 0;
};

struct stored_item
{
    std::string key;
    std::string value;
    std::int64_t revision = 0;
};

struct range_reply
{
    store_status status = store_status::unavailable;
    std::vector<stored_item> items;
};

//! Keys from \a start (inclusive) to \a end (exclusive) in byte order, at most \a limit of them.
//! It has a constructor because GCC 12 destroys a braced aggregate twice when an awaited call takes it.
struct key_range
{
    key_range(std::string first, std::string afterLast, std::size_t most = 1000)
        : start(std::move(first))
        , end(std::move(afterLast))
        , limit(most)
    {
    }

    std::string start;
    std::string end;
    std::size_t limit;
};

//! A key and the revision that it must still have; 0 for a key that must be absent.
struct key_precondition
{
    std::string key;
    std::int64_t revision = 0;
};

//! A value to write. The key goes with \a lease unless that is empty.
struct key_value
{
    std::string key;
    std::string value;
    std::string lease;
};

//! A change of several keys that takes effect as a whole or not at all.
struct transaction
{
    std::vector<key_precondition> preconditions;
    std::vector<key_value> puts;
    std::vector<std::string> removals;
};

//! One page of the keys with a prefix. Pages are no snapshot.
struct page_reply
{
    store_status status = store_status::unavailable;
    std::vector<stored_item> items;
    bool more = false;
    //! The store's revision when the page was read.
    std::int64_t revision = 0;
};

//! One change of a key; a removed one has no value.
struct key_change
{
    stored_item item;
    bool removed = false;
};

//! What has changed under a prefix.
struct watch_reply
{
    //! conflict when the store no longer has this history: list again.
    store_status status = store_status::unavailable;
    //! In the order of their revisions.
    std::vector<key_change> changes;
    //! Revision to go on from.
    std::int64_t revision = 0;
};

//! The platform's key-value service. Each member is one counted call.
struct store_api
{
    std::function<kernel::task<store_reply>(std::string key)> get;
    std::function<kernel::task<range_reply>(key_range range)> range;
    //! Writes \a key only if it is absent. The key goes with \a lease unless that is empty.
    std::function<kernel::task<store_reply>(std::string key, std::string value, std::string lease)> create;
    //! Writes \a key only if its revision is still \a revision.
    std::function<kernel::task<store_reply>(std::string key, std::string value, std::int64_t revision)>
        replace;
    std::function<kernel::task<store_reply>(std::string key)> remove;
    //! Returns the id of a new lease as the value.
    std::function<kernel::task<store_reply>(kernel::milliseconds ttl)> grantLease;
    std::function<kernel::task<store_reply>(std::string lease)> keepAlive;
    std::function<kernel::task<store_reply>(std::string lease)> revokeLease;
    //! Changes several keys under a condition.
    std::function<kernel::task<store_reply>(transaction change)> commit;
    //! Reads the keys with \a prefix that come after \a after in byte order.
    std::function<kernel::task<page_reply>(std::string prefix, std::string after)> page;
    //! Waits up to \a wait for a change under \a prefix later than revision \a after.
    std::function<kernel::task<watch_reply>(std::string prefix, std::int64_t after,
                                            kernel::milliseconds wait)>
        watch;
};

//! The range of all keys that begin with \a prefix.
key_range prefixRange(const std::string &prefix);

} // namespace almond::store
