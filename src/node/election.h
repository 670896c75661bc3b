#pragma once

#include <cstdint>

#include "src/base/clock.h"

namespace radishwing::node {

/// The start of a term that this node was elected for.
struct election {
  std::uint64_t fence = 0;  ///< Fencing token of all orders in this term.
  int term = 1;             ///< Number of the term; the first one is 1.
  /// The node's lease, which the shard's key is bound to, runs from this time.
  millis lease_renewed_at = 0;
  /// Latest time at which a lease granted by an earlier leader can expire.
  millis predecessor_lease_end = 0;
  /// Earliest time at which any host may be moved: the platform requires a
  /// pause between the last order of one lease holder and the first order of
  /// the next one for the same host.
  millis moves_allowed_at = 0;
  /// Earliest time at which hosts may be taken down. By then the hosts that the
  /// predecessor took down are either up again or listed as down.
  millis waves_allowed_at = 0;
};

}  // namespace radishwing::node
