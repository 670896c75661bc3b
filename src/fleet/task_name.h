#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace radishwing::fleet {

/// Identifies one task of one repetition of a job.
struct task_name {
  std::string job;     ///< Id of the job.
  int repetition = 0;  ///< Counts from 0.
  int step = 0;        ///< Index of the step in the job.
  int index = 0;       ///< Index of the task in the step.
  friend auto operator<=>(const task_name&, const task_name&) = default;
};

/// Formats a task name as "JOB.REPETITION.STEP.INDEX".
std::string FormatTaskName(const task_name& name);

/// Inverse of FormatTaskName. Returns nullopt if `text` is malformed.
std::optional<task_name> ParseTaskName(std::string_view text);

}  // namespace radishwing::fleet
