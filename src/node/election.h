#pragma once

#include <cstdint>

#include "src/base/clock.h"

namespace radishwing::node {

/// One term of leadership as it begins.
struct election {
  std::uint64_t fence = 0;  ///< Fencing token of all orders of the term.
  int term = 1;             ///< Counts leaderships.
  /// The node's lease, to which the shard's key is tied, runs from then on.
  millis lease_renewed_at = 0;
  /// By then every lease that an earlier leader can have given has run out.
  millis predecessor_until = 0;
  /// From then on any host may be moved: the platform wants a pause between the
  /// last order of one holder and the first of the next for one host.
  millis moves_free_at = 0;
  /// From then on hosts may be taken down: those that the predecessor took down
  /// are back or listed as down.
  millis waves_free_at = 0;
};

}  // namespace radishwing::node
