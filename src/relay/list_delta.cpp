#include "relay/list_delta.h"

#include <iterator>
#include <stdexcept>
#include <utility>

namespace almond::relay {

using jobs::running_report;

namespace {

bool isSameRun(const running_report &left, const running_report &right)
{
    return left.run == right.run && left.task == right.task;
}

//! Returns the index of the run of \a row in \a list, or the size of the list. Two lists of one worker mostly
//! have the same order, so the search begins at \a expected.
std::size_t findRun(std::span<const running_report> list, const running_report &row, std::size_t expected)
{
    for (std::size_t step = 0; step < list.size(); ++step) {
        const std::size_t index = (expected + step) % list.size();
        if (isSameRun(list[index], row))
            return index;
    }
    return list.size();
}

//! Removes the rows of \a list at the indexes \a gone.
void removeRows(std::vector<running_report> &list, std::span<const std::uint32_t> gone)
{
    std::size_t kept = 0;
    std::size_t next = 0;
    const auto keepUntil = [&](std::size_t end) {
        for (; next < end; ++next, ++kept) {
            if (kept != next)
                list[kept] = std::move(list[next]);
        }
    };
    for (const std::uint32_t index : gone) {
        if (index < next || index >= list.size())
            throw std::out_of_range("not a row of the list: " + std::to_string(index));
        keepUntil(index);
        ++next;
    }
    keepUntil(list.size());
    list.resize(kept);
}

} // namespace

list_delta differenceOf(std::span<const running_report> before, std::span<const running_report> after)
{
    list_delta delta;
    std::vector<bool> kept(before.size(), false);
    std::size_t expected = 0;
    for (const running_report &row : after) {
        const std::size_t index = findRun(before, row, expected);
        if (index == before.size() || kept[index]) {
            delta.added.push_back(row);
            continue;
        }
        kept[index] = true;
        expected = index + 1;
        const running_report &known = before[index];
        const bool sameCheckpoint = known.checkpoint == row.checkpoint;
        if (sameCheckpoint && known.percent == row.percent && known.measurement == row.measurement)
            continue;
        delta.changed.push_back({static_cast<std::uint32_t>(index), row.percent, row.measurement,
                                 sameCheckpoint ? std::nullopt : std::optional(row.checkpoint)});
    }
    for (std::size_t index = 0; index < before.size(); ++index) {
        if (!kept[index])
            delta.gone.push_back(static_cast<std::uint32_t>(index));
    }
    return delta;
}

std::vector<running_report> withDelta(std::vector<running_report> before, list_delta delta)
{
    for (changed_row &change : delta.changed) {
        running_report &row = before.at(change.index);
        row.percent = change.percent;
        row.measurement = change.measurement;
        if (change.checkpoint)
            row.checkpoint = std::move(*change.checkpoint);
    }
    removeRows(before, delta.gone);
    before.insert(before.end(), std::move_iterator(delta.added.begin()),
                  std::move_iterator(delta.added.end()));
    return before;
}

} // namespace almond::relay
