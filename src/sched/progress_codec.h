#pragma once

#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/sched/job_state.h"

namespace radishwing::sched {

/// Encodes the part of a job's state that a new leader needs: finished tasks,
/// used attempts and checkpoints.
std::string EncodeProgress(const job_state& job);

/// Restores the output of EncodeProgress into a job without progress. Fails
/// with kInvalid if the text cannot be decoded.
result<success> DecodeProgress(std::string_view text, job_state& job);

/// Decodes only the phase, to answer status requests without a leader.
job_phase DecodePhase(std::string_view text);

}  // namespace radishwing::sched
