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

//! Builds a document from the events of a parser and stops at a value that is nested too deeply.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json>
{
public:
    explicit bounded_builder(json &result)
        : json_sax_dom_parser(result, false)
    {
    }
    bool start_object(std::size_t elements)
    {
        return ++m_depth <= maximumNesting && json_sax_dom_parser::start_object(elements);
    }
    bool end_object()
    {
        --m_depth;
        return json_sax_dom_parser::end_object();
    }
    bool start_array(std::size_t elements)
    {
        return ++m_depth <= maximumNesting && json_sax_dom_parser::start_array(elements);
    }
    bool end_array()
    {
        --m_depth;
        return json_sax_dom_parser::end_array();
    }

private:
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
    json parsed;
    bounded_builder builder(parsed);
    try {
        if (!json::sax_parse(bytes, &builder, json::input_format_t::cbor))
            return std::nullopt;
    } catch (const json::exception &) {
        // An array or object that claims more elements than can exist.
        return std::nullopt;
    }
    return unlessDiscarded(std::move(parsed));
}

} // namespace almond::codec
