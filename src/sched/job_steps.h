#pragma once

#include "src/base/clock.h"
#include "src/sched/job_state.h"

namespace radishwing::sched {

/// Returns the state of a new repetition of a job: no task is done or has runs.
repetition_state MakeRepetition(const fleet::job_request& request);

/// Returns true if every step that `step` depends on is done.
bool IsStepReady(const fleet::job_request& request,
                 const repetition_state& repetition, std::size_t step);

/// Returns true if every task of every step is done.
bool AllStepsDone(const repetition_state& repetition);

/// Returns the length of the critical path through the steps of `repetition`
/// that are not done, by the caller's estimates. If `repetition` is null, the
/// path includes all steps.
millis CriticalPathMs(const fleet::job_request& request,
                      const repetition_state* repetition);

}  // namespace radishwing::sched
