#include "store/journal_codec.h"

#include "codec/bounded_json.h"
#include "observe/log.h"

#include <QByteArray>
#include <QtEndian>

#include <charconv>

namespace almond::store {

namespace {

constexpr std::size_t smallestCompressedBytes = 512;
constexpr std::uint32_t largestEntryBytes = 64U * 1024 * 1024;
//! First byte of a compressed entry. The text of an entry that is not compressed begins with a brace.
constexpr char compressedMark = '\x01';

//! Returns the text of an entry; empty if \a value is compressed and damaged.
std::optional<std::string> uncompressed(const std::string &value)
{
    if (value.empty() || value.front() != compressedMark)
        return value;
    const QByteArray data(value.data() + 1, static_cast<qsizetype>(value.size() - 1));
    // Compressed data begins with the size of the text, which must be checked before that much is allocated.
    constexpr qsizetype sizeBytes = 4;
    if (data.size() < sizeBytes || qFromBigEndian<std::uint32_t>(data.constData()) > largestEntryBytes)
        return std::nullopt;
    const QByteArray text = qUncompress(data);
    return text.isEmpty() ? std::nullopt : std::optional(text.toStdString());
}

} // namespace

std::string encodeEntry(const journal_entry &entry)
{
    return json{{"writer", entry.writer}, {"submission", entry.submission}, {"body", entry.body}}.dump();
}

std::string encodeCompactEntry(const journal_entry &entry)
{
    std::string text = encodeEntry(entry);
    if (text.size() < smallestCompressedBytes)
        return text;
    const QByteArray compressed
        = qCompress(reinterpret_cast<const uchar *>(text.data()), static_cast<qsizetype>(text.size()), 1);
    return compressedMark + compressed.toStdString();
}

std::optional<journal_entry> decodeEntry(std::uint64_t index, const std::string &value)
{
    const std::optional<std::string> text = uncompressed(value);
    if (!text)
        return std::nullopt;
    std::optional<json> parsed = codec::parseText(*text);
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
