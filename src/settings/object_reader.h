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

//! Limits of a whole number, both inclusive.
struct integer_range
{
    std::int64_t minimum;
    std::int64_t maximum;
};

//! Describes one setting for the operators' page.
struct field_description
{
    std::string path;
    std::string fallback;
    std::string limits;
};

//! Reads the members of one JSON object and collects what is wrong, with the JSON path.
//! Members that nothing reads are findings of finish().
class object_reader
{
public:
    //! Reads \a object, which stands at \a path; appends to \a found, which must outlive the reader.
    object_reader(const json &object, std::string path, findings &found);

    //! Returns the string \a key; a missing one without a \a fallback is a finding.
    std::string requiredString(std::string_view key);
    std::string string(std::string_view key, std::string_view fallback);
    //! Returns the string \a key, which must be one of \a allowed.
    std::string choice(std::string_view key, std::string_view fallback, const std::set<std::string> &allowed);
    //! Returns the address \a key as HOST:PORT with an IP number for the host.
    std::string requiredAddress(std::string_view key);
    std::vector<std::string> addresses(std::string_view key);
    std::int64_t requiredInteger(std::string_view key, integer_range range);
    std::int64_t integer(std::string_view key, std::int64_t fallback, integer_range range);
    //! Returns the number \a key, which must be above 0 and at most 1.
    double share(std::string_view key, double fallback);
    bool boolean(std::string_view key, bool fallback);
    //! Returns the object \a key, or an empty one.
    const json &object(std::string_view key);

    //! Adds a finding for each member that was not read.
    void finish();

    //! The JSON path of member \a key.
    std::string pathOf(std::string_view key) const;
    //! What was read so far, for documentation.
    const std::vector<field_description> &described() const { return m_described; }

private:
    const json *member(std::string_view key);
    void report(std::string_view key, std::string message);
    std::int64_t checkedInteger(std::string_view key, const json &value, std::int64_t fallback,
                                integer_range range);

    const json &m_object;
    std::string m_path;
    findings &m_found;
    std::set<std::string, std::less<>> m_read;
    std::vector<field_description> m_described;
};

//! Tells whether \a address is an IP number and a port between 1 and 65535, as HOST:PORT.
bool isAddress(std::string_view address);

//! Parses JSON with comments. A syntax error becomes one finding at "name:line".
json parseWithComments(std::string_view text, std::string_view name, findings &found);

//! Reads and parses the file \a path; one that can't be read is a finding.
json readFile(const std::string &path, findings &found);

} // namespace almond::settings
