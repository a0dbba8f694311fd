#include "settings/object_reader.h"

#include "http/address.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace almond::settings {

object_reader::object_reader(const json &object, std::string path, findings &found)
    : m_object(object)
    , m_path(std::move(path))
    , m_findings(found)
{
    if (!m_object.is_object())
        m_findings.push_back({m_path.empty() ? "/" : m_path, "must be an object"});
}

std::string object_reader::pathOf(std::string_view key) const
{
    return m_path + "/" + std::string(key);
}

const json *object_reader::member(std::string_view key)
{
    m_readKeys.emplace(key);
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(std::string(key));
    return found == m_object.end() ? nullptr : &*found;
}

void object_reader::addFinding(std::string_view key, std::string message)
{
    m_findings.push_back({pathOf(key), std::move(message)});
}

std::string object_reader::requiredString(std::string_view key)
{
    m_described.push_back({pathOf(key), "required", "text"});
    const json *value = member(key);
    if (!value) {
        addFinding(key, "is missing");
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        addFinding(key, "must be a non-empty string");
        return {};
    }
    return value->get<std::string>();
}

std::string object_reader::string(std::string_view key, std::string_view fallback)
{
    m_described.push_back({pathOf(key), std::string(fallback), "text"});
    const json *value = member(key);
    if (!value)
        return std::string(fallback);
    if (!value->is_string()) {
        addFinding(key, "must be a string");
        return std::string(fallback);
    }
    return value->get<std::string>();
}

std::string object_reader::choice(std::string_view key, std::string_view fallback,
                                  const std::set<std::string> &allowed)
{
    std::string allowedText;
    for (const std::string &option : allowed)
        allowedText += (allowedText.empty() ? "" : ", ") + option;
    const std::string value = string(key, fallback);
    m_described.back().limits = allowedText;
    if (!allowed.contains(value))
        addFinding(key, "is \"" + value + "\", must be one of: " + allowedText);
    return value;
}

std::string object_reader::requiredAddress(std::string_view key)
{
    const std::string value = requiredString(key);
    m_described.back().limits = "IP:PORT";
    if (!value.empty() && !http::isPeerAddress(value))
        addFinding(key, "is \"" + value + "\", must be an IP number and a port, such as 127.0.0.1:8080");
    return value;
}

std::vector<std::string> object_reader::addresses(std::string_view key)
{
    m_described.push_back({pathOf(key), "[]", "list of IP:PORT"});
    std::vector<std::string> result;
    const json *value = member(key);
    if (!value)
        return result;
    if (!value->is_array()) {
        addFinding(key, "must be a list of addresses");
        return result;
    }
    for (std::size_t index = 0; index < value->size(); ++index) {
        const json &item = (*value)[index];
        if (item.is_string() && http::isPeerAddress(item.get_ref<const std::string &>()))
            result.push_back(item.get<std::string>());
        else
            m_findings.push_back(
                {pathOf(key) + "/" + std::to_string(index), "must be an IP number and a port"});
    }
    return result;
}

double object_reader::share(std::string_view key, double fallback)
{
    m_described.push_back({pathOf(key), json(fallback).dump(), "above 0, at most 1"});
    const json *value = member(key);
    if (!value)
        return fallback;
    const double number = value->is_number() ? value->get<double>() : 0.0;
    if (number > 0.0 && number <= 1.0)
        return number;
    addFinding(key, "must be a number above 0 and at most 1");
    return fallback;
}

std::int64_t object_reader::checkedInteger(std::string_view key, const json &value, std::int64_t fallback,
                                           integer_range range)
{
    if (!value.is_number_integer()) {
        addFinding(key, "must be a whole number");
        return fallback;
    }
    const auto number = value.get<std::int64_t>();
    if (number < range.minimum || number > range.maximum) {
        addFinding(key,
                   "is " + std::to_string(number) + ", must be from " + std::to_string(range.minimum) + " to "
                       + std::to_string(range.maximum));
        return fallback;
    }
    return number;
}

std::int64_t object_reader::requiredInteger(std::string_view key, integer_range range)
{
    m_described.push_back(
        {pathOf(key), "required", std::to_string(range.minimum) + " to " + std::to_string(range.maximum)});
    const json *value = member(key);
    if (!value) {
        addFinding(key, "is missing");
        return range.minimum;
    }
    return checkedInteger(key, *value, range.minimum, range);
}

std::int64_t object_reader::integer(std::string_view key, std::int64_t fallback, integer_range range)
{
    m_described.push_back({pathOf(key), std::to_string(fallback),
                           std::to_string(range.minimum) + " to " + std::to_string(range.maximum)});
    const json *value = member(key);
    return value ? checkedInteger(key, *value, fallback, range) : fallback;
}

bool object_reader::boolean(std::string_view key, bool fallback)
{
    m_described.push_back({pathOf(key), fallback ? "true" : "false", "true or false"});
    const json *value = member(key);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        addFinding(key, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

const json &object_reader::object(std::string_view key)
{
    static const json empty = json::object();
    const json *value = member(key);
    if (!value)
        return empty;
    if (!value->is_object()) {
        addFinding(key, "must be an object");
        return empty;
    }
    return *value;
}

void object_reader::finish()
{
    if (!m_object.is_object())
        return;
    for (const auto &[key, value] : m_object.items()) {
        if (!m_readKeys.contains(key))
            addFinding(key, "is not a known setting");
    }
}

json parseWithComments(std::string_view text, std::string_view name, findings &found)
{
    try {
        return json::parse(text, nullptr, true, true);
    } catch (const json::parse_error &error) {
        const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(error.byte, text.size()));
        const auto line = 1 + std::count(text.begin(), end, '\n');
        found.push_back({std::string(name) + ":" + std::to_string(line), error.what()});
        return json::object();
    }
}

json readFile(const std::string &path, findings &found)
{
    std::ifstream file(path);
    if (!file) {
        found.push_back({path, "can't be read"});
        return json::object();
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseWithComments(text.str(), path, found);
}

} // namespace almond::settings
