#pragma once

#include "jobs/interference.h"
#include "tests/unit/job_fixtures.h"

namespace almond::tests {

inline constexpr const char *servingJob = "00000000000000aa";
inline constexpr const char *fillingJob = "00000000000000ab";
inline constexpr std::int64_t targetMs = 50;

//! One worker with a serving task beside one neighbour that presses it and one that does not.
struct neighbours
{
    jobs::ledger book;
    jobs::interference_model model;
    jobs::interference_rules rules;
    jobs::pace_state pace;
    jobs::resources capacity{32'000, 128'000, 0};
    jobs::worker_session session = jobs::openSession(worker("v"), {});
    std::vector<jobs::running_report> &running = session.running;
    std::vector<jobs::unwanted_run> moves;

    neighbours()
    {
        auto serving = step(1, 6000);
        serving.lasting = true;
        serving.image = "frail";
        serving.tailTarget = kernel::milliseconds(targetMs);
        jobs::addJob(book, makeJob(servingJob, {serving}));
        auto heavy = step(1, 4000);
        heavy.fills = true;
        heavy.image = "heavy";
        heavy.declaredDuration = kernel::milliseconds(2000);
        auto light = heavy;
        light.image = "light";
        jobs::addJob(book, makeJob(fillingJob, {heavy, light}));
        running.push_back({{servingJob, 0, 0, 0}, 1, "", 100, 20});
        running.push_back({{fillingJob, 0, 0, 0}, 1, "", 50, 4000});
        running.push_back({{fillingJob, 0, 1, 0}, 1, "", 50, 4000});
        setSlackPerCore(model, "frail", "heavy", 0.25);
        setSlackPerCore(model, "frail", "light", 0.001);
    }

    std::vector<jobs::pace_order> decide(std::int64_t now, std::int64_t tailMs)
    {
        running[0].figure = tailMs;
        jobs::relief decided = jobs::relieve(pace, model, rules, book, session, kernel::fromMillis(now));
        moves = std::move(decided.moves);
        return std::move(decided.paces);
    }
};

} // namespace almond::tests
