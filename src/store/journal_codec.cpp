#include "store/journal_codec.h"

#include "codec/bounded_json.h"
#include "observe/log.h"

#include <charconv>

namespace almond::store {

std::string encodeEntry(const journal_entry &entry)
{
    return json{{"writer", entry.writer}, {"submission", entry.submission}, {"body", entry.body}}.dump();
}

std::optional<journal_entry> decodeEntry(std::uint64_t index, const std::string &value)
{
    std::optional<json> parsed = codec::parseText(value);
    const bool whole = parsed && parsed->is_object() && parsed->contains("body")
        && parsed->value("writer", json()).is_string() && parsed->value("submission", json()).is_string();
    if (!whole)
        return std::nullopt;
    return journal_entry{index, (*parsed)["writer"], (*parsed)["submission"], std::move((*parsed)["body"])};
}

journal_entry decodeEntryOrEmpty(std::uint64_t index, const std::string &value)
{
    std::optional<journal_entry> entry = decodeEntry(index, value);
    if (entry)
        return std::move(*entry);
    observe::logLimited(observe::log_level::error, "journal entry that can't be read ignored",
                        {{"index", index}, {"bytes", value.size()}}, kernel::monotonicNow());
    return {index, "", "", json::array()};
}

std::optional<std::uint64_t> indexOfKey(std::string_view key)
{
    const std::string_view digits = key.substr(key.rfind('/') + 1);
    std::uint64_t index = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), index);
    if (error != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return index;
}

} // namespace almond::store
