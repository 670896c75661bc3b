#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace radishwing::maintenance {

/// What a wave does next to a host. Each needs a drain grant of the ledger of
/// `pool`, and the ledger may still refuse it.
enum class wave_step {
  kMaintain,  ///< Drain, maintain and return the host.
  kLend,      ///< Drain a spare host and make it active in `next_pool`.
  kGiveBack,  ///< Return a lent host to `next_pool`, maintained on the way.
};

struct wave_action {
  wave_step step = wave_step::kMaintain;
  std::string host;
  std::string pool;
  std::string next_pool;  ///< Empty for kMaintain.
  /// True if the drain includes the maintenance of the wave.
  bool maintain = true;
};

/// Why a pool does not advance, or advances slowly. `pool` is empty if the
/// whole wave is held.
struct wave_hold {
  std::string pool;
  std::string reason;
};

struct wave_plan {
  std::vector<wave_action> actions;
  std::vector<wave_hold> holds;
  std::uint32_t done = 0;
  std::uint32_t remaining = 0;  ///< Including those in progress.
};

}  // namespace radishwing::maintenance
