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
};

//! The range of all keys that begin with \a prefix.
key_range prefixRange(const std::string &prefix);

} // namespace almond::store
