#pragma once

#include <string>
#include <vector>

namespace radishwing::settings {

/// Maintenance that a wave performs on each host.
enum class wave_kind {
  kKernel,  ///< Reboots the host into a new kernel.
  kMove     ///< Moves the host to other hardware.
};

/// State that the operator requests for a wave.
enum class wave_state { kPlanned, kRunning, kPaused, kAborted };

/// Settings object `waves.<wave>`: a maintenance wave over the hosts of pools.
struct wave_settings {
  /// Names of the pools whose hosts are maintained; empty for all pools.
  std::vector<std::string> pools;
  wave_kind kind = wave_kind::kKernel;
  wave_state state = wave_state::kPlanned;
};

}  // namespace radishwing::settings
