#pragma once

#include "src/base/clock.h"
#include "src/sched/job_state.h"

namespace radishwing::sched {

/// A repetition in which nothing has been done.
repetition_state MakeRepetition(const fleet::job_request& request);

/// True if every step that `step` waits for is done.
bool StepReady(const fleet::job_request& request,
               const repetition_state& repetition, std::size_t step);

/// True if every task of every step is done.
bool AllDone(const repetition_state& repetition);

/// Run time of the longest chain of steps that are not done, in ms by the
/// caller's estimates. Without a repetition, that of all steps.
millis LongestChain(const fleet::job_request& request,
                    const repetition_state* repetition);

}  // namespace radishwing::sched
