#pragma once

#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/sched/job_state.h"

namespace radishwing::sched {

/// Encodes the part of a job's state that a new leader needs: finished tasks,
/// used attempts and checkpoints.
std::string EncodeProgress(const job_state& job);

/// Restores the progress of `job` from `text`, the output of EncodeProgress.
/// The job must have no progress yet. Fails with kInvalid if `text` cannot be
/// decoded.
result<success> DecodeProgress(std::string_view text, job_state& job);

/// Returns the job_state::author of the state that `text` was written from, or
/// an empty string if `text` does not name it.
std::string DecodeAuthor(std::string_view text);

/// Decodes only the job's phase from `text`, the output of EncodeProgress. With
/// this phase, any node can answer a status request while there is no leader.
/// Returns kPending if `text` cannot be decoded.
job_phase DecodePhase(std::string_view text);

}  // namespace radishwing::sched
