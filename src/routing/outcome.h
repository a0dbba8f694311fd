#pragma once

#include "http/message.h"

#include <string_view>

namespace almond::routing {

//! Whether a minion has run a request, as far as the gateway knows. Sent as the header Almond-Outcome.
enum class outcome {
    //! A minion ran it, and the reply contains the minion's complete response.
    run,
    //! No minion has run it, and none will.
    notRun,
    //! It may have run: no complete response was received.
    unknown
};

std::string_view nameOf(outcome value);

//! Makes a reply of the gateway itself, with an error message and the outcome header.
http::reply makeOutcomeReply(http::status code, outcome value, std::string_view message);

//! Returns whether \a request may be sent more than once. Its Almond-Idempotent header decides, or its method
//! if the header is neither "true" nor "false".
bool isIdempotent(const http::request &request);

} // namespace almond::routing
