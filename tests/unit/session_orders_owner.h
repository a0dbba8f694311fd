#pragma once

#include "tests/unit/session_orders_model.h"

#include <cstddef>
#include <cstdint>
#include <vector>

//! What the owner's part of the model does at more than one event.
namespace almond::tests {

jobs::time_point nowOf(const model_state &state);
//! Queues \a records for the next commit, and checks what they count as over.
void queue(model_state &state, const std::vector<jobs::journal_record> &records, bool fromList);
void beginStop(model_state &state, std::uint32_t run);
//! Ends the start procedure \a index: its order is settled.
void endProcedure(model_state &state, std::size_t index);
//! Like job_owner::replaceIncarnation().
void replaceIncarnation(model_state &state, std::int64_t bornMs);
//! An order that has not been carried out ends with its connection when the worker restarts.
bool isCut(const model_state &state, std::int64_t connectedToMs);
void applyListing(model_state &state);
//! Removes orders that no incarnation can carry out any more, or that change nothing.
void forgetStrays(model_state &state);
//! Removes the session if job_owner would: nothing is left to do, and nothing holds it.
void forgetUnused(model_state &state);

} // namespace almond::tests
