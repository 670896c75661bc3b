#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/sched/job_state.h"

namespace radishwing::sched {

/// Encodes the part of a job's state that a new leader needs: finished tasks,
/// used attempts and checkpoints. Repetitions that are done, and those after
/// the last one that has begun, take no space. If the text would be longer than
/// `max_bytes`, it has no checkpoints, without which tasks start anew; it may
/// be too long even so.
std::string EncodeProgress(const job_state& job, std::size_t max_bytes);

/// Returns how many repetitions of a job may be begun and not done at once, so
/// that its record is not longer than `max_bytes` if each task has as many
/// failed runs as it may have; at least 1.
int MaxOpenRepetitions(const fleet::job_record& job, std::size_t max_bytes);

/// Restores the progress of `job` from `text`, the output of EncodeProgress.
/// The job must have no progress yet. Its repetitions that have begun or are
/// done, according to the text, are replaced; those that are done are then
/// missing. Fails with kInvalid, without an effect, if `text` cannot be
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
