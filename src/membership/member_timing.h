#pragma once

#include <cstddef>

#include "src/base/clock.h"

namespace radishwing::membership {

/// Intervals of the membership, in ms.
struct member_timing {
  millis heartbeat_ms = 1000;
  millis suspect_ms = 3000;  ///< Without news for this long: suspect.
  millis failed_ms = 10000;  ///< Without news for this long: failed.
  /// Failed members and those that left are forgotten after this.
  millis forget_ms = 3600 * 1000;
  /// Up to this many members, each sends heartbeats to every other one.
  std::size_t full_mesh_max = 16;
  /// Above it, to this many, which keeps a control under 5 KB/s.
  std::size_t partial_mesh_peers = 6;
};

}  // namespace radishwing::membership
