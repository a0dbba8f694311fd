#include "routing/outcome.h"

namespace almond::routing {

std::string_view nameOf(outcome value)
{
    switch (value) {
    case outcome::run:
        return "run";
    case outcome::notRun:
        return "not-run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

http::reply makeOutcomeReply(http::status code, outcome value, std::string_view message)
{
    http::reply answer = http::makeErrorReply(code, message);
    const std::string_view name = nameOf(value);
    answer.message.set("Almond-Outcome", boost::beast::string_view(name.data(), name.size()));
    return answer;
}

bool isIdempotent(const http::request &request)
{
    const std::string_view headerValue = http::header(request, "Almond-Idempotent");
    if (headerValue == "true" || headerValue == "false")
        return headerValue == "true";
    switch (request.method()) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::put:
    case http::verb::delete_:
    case http::verb::options:
        return true;
    default:
        return false;
    }
}

} // namespace almond::routing
