#pragma once

#include "http/message.h"

#include <string_view>

namespace almond::routing {

//! What a caller may rely on about its request; sent as the header Almond-Outcome.
enum class outcome {
    //! A minion ran it and this is its whole answer.
    run,
    //! No minion ran it or will run it.
    notRun,
    //! It may have run.
    unknown
};

std::string_view nameOf(outcome value);

//! An answer of the gateway's own, with its outcome.
http::reply makeOutcomeReply(http::status code, outcome value, std::string_view message);

//! Tells whether \a asked may be sent twice: by its Almond-Idempotent header, or else by its method.
bool isIdempotent(const http::request &asked);

} // namespace almond::routing
