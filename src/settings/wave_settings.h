#pragma once

#include <string>
#include <vector>

namespace radishwing::settings {

/// Type of maintenance that a wave performs on each host.
enum class wave_kind { kKernel, kMove };

/// State of a wave requested by the operator.
enum class wave_state { kPlanned, kRunning, kPaused, kAborted };

/// Settings object `waves.<wave>`.
struct wave_settings {
  std::vector<std::string> pools;  ///< Empty for all pools.
  wave_kind kind = wave_kind::kKernel;
  wave_state state = wave_state::kPlanned;
};

}  // namespace radishwing::settings
