#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "src/entry/pool_state.h"
#include "src/entry/service_metrics.h"
#include "src/routing/retry_budget.h"
#include "src/routing/runner_group.h"
#include "src/settings/service_settings.h"

namespace radishwing::entry {

/// One service as the serve thread knows it. Kept for the life of the process.
struct service_state {
  std::string name;
  std::uint32_t index = 0;
  settings::service_settings settings;
  bool listed = false;       ///< In the newest settings.
  std::vector<bool> admits;  ///< By team index.
  pool_state* pool = nullptr;
  routing::runner_group* group = nullptr;
  routing::retry_budget budget;
  double mean_run_ms = 1;  ///< Of recent attempts; expected cost of the next.
  double slowest_first_byte_ms = 0;  ///< Decaying maximum.
  std::uint32_t first_bytes = 0;     ///< Samples in it.
  bool dispatching = false;
  bool dispatch_again = false;
  std::vector<std::unique_ptr<service_metrics>> metrics;  ///< By team index.

  /// Notes the time used by an attempt that was answered.
  void NoteRun(millis used) {
    mean_run_ms += (static_cast<double>(used) - mean_run_ms) / 16;
  }
  void NoteFirstByte(millis after) {
    slowest_first_byte_ms =
        std::max(slowest_first_byte_ms * 0.999, static_cast<double>(after));
    ++first_bytes;
  }
};

}  // namespace radishwing::entry
