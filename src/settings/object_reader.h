#pragma once

#include "settings/findings.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace almond::settings {

using json = nlohmann::json;

//! Limits of an integer, both inclusive.
struct integer_range
{
    std::int64_t minimum;
    std::int64_t maximum;
};

//! Describes one setting for the documentation: JSON path, default value (or "required") and allowed values.
struct field_description
{
    std::string path;
    std::string fallback;
    std::string limits;
};

//! Reads the members of one JSON object and collects errors with their JSON paths. A member that is absent or
//! invalid gets its default value, so that one pass finds all errors. finish() reports unknown members.
class object_reader
{
public:
    //! Reads \a object, whose JSON path is \a path, and appends errors to \a found. Both must outlive the
    //! reader.
    object_reader(const json &object, std::string path, findings &found);

    //! Returns the string \a key, which must be present and not empty.
    std::string requiredString(std::string_view key);
    //! Returns the string \a key, or \a fallback if it is absent.
    std::string string(std::string_view key, std::string_view fallback);
    //! Returns the string \a key, which must be one of \a allowed.
    std::string choice(std::string_view key, std::string_view fallback, const std::set<std::string> &allowed);
    //! Returns the address \a key (IP:PORT), which must be present.
    std::string requiredAddress(std::string_view key);
    //! Returns the list of addresses (IP:PORT) \a key, or an empty list.
    std::vector<std::string> addresses(std::string_view key);
    std::int64_t requiredInteger(std::string_view key, integer_range range);
    std::int64_t integer(std::string_view key, std::int64_t fallback, integer_range range);
    //! Returns the number \a key, which must be above 0 and at most 1.
    double share(std::string_view key, double fallback);
    bool boolean(std::string_view key, bool fallback);
    //! Returns the object \a key, or an empty one.
    const json &object(std::string_view key);

    //! Adds a finding for each member that was not read: it is unknown or misspelled.
    void finish();

    //! Returns the JSON path of the member \a key.
    std::string pathOf(std::string_view key) const;
    //! Descriptions of the settings read so far.
    const std::vector<field_description> &described() const { return m_described; }

private:
    const json *member(std::string_view key);
    void addFinding(std::string_view key, std::string message);
    std::int64_t checkedInteger(std::string_view key, const json &value, std::int64_t fallback,
                                integer_range range);

    const json &m_object;
    std::string m_path;
    findings &m_findings;
    std::set<std::string, std::less<>> m_readKeys;
    std::vector<field_description> m_described;
};

//! Parses \a text as JSON with comments. A syntax error adds one finding at "name:line" and gives an empty
//! object.
json parseWithComments(std::string_view text, std::string_view name, findings &found);

//! Reads the file \a path and parses it as JSON with comments. An unreadable file adds a finding and gives an
//! empty object.
json readFile(const std::string &path, findings &found);

} // namespace almond::settings
