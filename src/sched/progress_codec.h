#pragma once

#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/sched/job_state.h"

namespace radishwing::sched {

/// The part of a job's state that must survive a leader: what has ended, the
/// attempts used, checkpoints.
std::string EncodeProgress(const job_state& job);

/// Restores what EncodeProgress wrote into a job without progress. Fails with
/// kInvalid if the text is unreadable or does not fit the job.
result<done> DecodeProgress(std::string_view text, job_state& job);

/// Only the phase, for answers without a leader.
job_phase DecodePhase(std::string_view text);

}  // namespace radishwing::sched
