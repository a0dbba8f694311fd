#include "codec/bounded_json.h"

#include <algorithm>

namespace almond::codec {

using nlohmann::json;

namespace {

int nestingOf(std::string_view text)
{
    int depth = 0;
    int deepest = 0;
    bool inString = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char character = text[position];
        if (inString) {
            position += character == '\\' ? 1 : 0;
            inString = character != '"';
        } else if (character == '"') {
            inString = true;
        } else if (character == '[' || character == '{') {
            deepest = std::max(deepest, ++depth);
        } else if (character == ']' || character == '}') {
            --depth;
        }
    }
    return deepest;
}

//! Receives the events of a parser and stops it at a value that is nested too deeply.
class nesting_check : public json::json_sax_t
{
public:
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override { return true; }
    bool string(string_t & /*value*/) override { return true; }
    bool binary(binary_t & /*value*/) override { return true; }
    bool start_object(std::size_t /*elements*/) override { return enter(); }
    bool key(string_t & /*value*/) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t /*elements*/) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const json::exception & /*error*/) override
    {
        return false;
    }

private:
    bool enter() { return ++m_depth <= maximumNesting; }
    bool leave()
    {
        --m_depth;
        return true;
    }

    int m_depth = 0;
};

std::optional<json> unlessDiscarded(json parsed)
{
    return parsed.is_discarded() ? std::nullopt : std::optional<json>(std::move(parsed));
}

} // namespace

std::optional<json> parseText(std::string_view text)
{
    if (nestingOf(text) > maximumNesting)
        return std::nullopt;
    return unlessDiscarded(json::parse(text, nullptr, false));
}

std::optional<json> parseCbor(std::string_view bytes)
{
    nesting_check check;
    if (!json::sax_parse(bytes, &check, json::input_format_t::cbor))
        return std::nullopt;
    return unlessDiscarded(json::from_cbor(bytes, true, false));
}

} // namespace almond::codec
