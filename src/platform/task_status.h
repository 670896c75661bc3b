#pragma once

#include <cstdint>
#include <string>

#include "src/base/clock.h"

namespace radishwing::platform {

/// State of a task as the platform knows it.
enum class task_state {
  kRunning,
  kFinished,
  kFailed,
  kStopped,
  kLapsed,  ///< Its lease expired; whether it still runs is not known.
};

/// A task and its use, which is reported with a delay.
struct task_status {
  std::string id;
  task_state state = task_state::kRunning;
  millis usage_as_of_ms = 0;
  std::uint64_t cpu_ms = 0;
  std::uint64_t memory_mb = 0;
};

/// What became of the start of a task.
enum class start_state {
  kStarted,  ///< It exists, from this call or an earlier one with its id.
  kRefused,  ///< Not started: its host has no room, is not up or is unknown.
  kNotDone,  ///< Not started: the platform was not reached or is busy.
  kUnknown,  ///< May have been started.
};

struct start_outcome {
  start_state state = start_state::kNotDone;
  std::string message;  ///< For logs, unless started.
};

}  // namespace radishwing::platform
