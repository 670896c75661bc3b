#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/base/clock.h"

namespace radishwing::platform_fake {

/// State of a task towards the platform.
enum class task_state { kRunning, kFinished, kFailed, kStopped, kLapsed };

/// Name of a state on the wire.
std::string_view TaskStateName(task_state state);

/// One task. The fake worker takes its behaviour from the body if that is a
/// JSON object with `run_ms`, `exit` ("finished" or "failed") or `result`.
struct fake_task {
  std::string id;
  std::string service;
  std::string team;
  std::string host;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  millis lease_ms = 0;
  bool preemptible = false;

  task_state state = task_state::kRunning;
  task_state exit = task_state::kFinished;  ///< State at its end.
  std::string result;
  millis started_at = 0;
  millis ends_at = 0;
  millis lease_ends_at = 0;
  double rate = 1;  ///< Speed after throttling, above 0 up to 1.
  std::uint32_t checkpoints = 0;
};

}  // namespace radishwing::platform_fake
