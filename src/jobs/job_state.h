#pragma once

#include <optional>
#include <string_view>

namespace radishwing::jobs {

/// State of a job, as callers see it and as the store keeps it.
enum class job_state {
  kAccepted,  ///< Recorded; no task is known to have been started.
  kStarting,  ///< A task may have been started; its id is known.
  kRunning,
  kUnknown,  ///< The lease of its only task lapsed; awaits the worker.
  kFinished,
  kFailed,
  kFaulty,  ///< Failed on several different workers; not tried again.
  kCancelled,
};

/// Stable lower-case name, for JSON.
std::string_view JobStateName(job_state state);
std::optional<job_state> ParseJobState(std::string_view name);

/// True if the job can no longer run.
bool HasEnded(job_state state);

}  // namespace radishwing::jobs
