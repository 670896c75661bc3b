#pragma once

#include <string>
#include <vector>

namespace radishwing::settings {

/// What a wave does to each host.
enum class wave_kind { kKernel, kMove };

/// What the operator wants of a wave.
enum class wave_state { kPlanned, kRunning, kPaused, kAborted };

/// One branch `waves.<wave>`.
struct wave_settings {
  std::vector<std::string> pools;  ///< Empty: every pool.
  wave_kind kind = wave_kind::kKernel;
  wave_state state = wave_state::kPlanned;
};

}  // namespace radishwing::settings
