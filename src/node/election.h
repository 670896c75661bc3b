#pragma once

#include <cstdint>

#include "src/base/clock.h"

namespace radishwing::node {

/// Parameters of a term for which this node was elected leader. All times are
/// readings of the node's monotonic clock in ms.
struct election {
  /// Fencing token of all orders in this term: the revision of ShardKey().
  std::uint64_t fencing_token = 0;
  int term = 1;  ///< Number of the term; the first one is 1.
  /// Send time of the last request that granted or renewed the node's lease,
  /// which ShardKey() is bound to.
  millis lease_renewed_at = 0;
  /// By this time, every lease that an earlier leader holds on a runner has
  /// expired; 0: there was no earlier leader.
  millis predecessor_lease_end = 0;
  /// From this time on, any host may be moved. The platform requires a pause
  /// after the last order of an earlier lease holder to a host. Before this
  /// time, some hosts may still be in that pause.
  millis moves_allowed_at = 0;
  /// From this time on, hosts may be taken down. By this time, each host that
  /// the predecessor took down is either up again or listed as down.
  millis waves_allowed_at = 0;
};

}  // namespace radishwing::node
