#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/maintenance/host_record.h"

namespace radishwing::maintenance {

/// What one roster member knows about a draining host.
struct drain_confirmation {
  std::string member;
  std::uint64_t epoch = 0;      ///< Newest epoch of the host in force there.
  std::uint32_t in_flight = 0;  ///< Requests of its entry to the host.
};

/// Functions that compute the next record for a compare-and-swap on the version
/// from which `record` was read. They fail with kConflict if the state does not
/// allow the change.

/// Stops new work. The availability ledger must have granted the drain before.
/// `next_pool` is empty unless the host moves; a move and maintenance may share
/// one drain.
result<host_record> BeginDrain(const host_record& record,
                               std::string_view reason,
                               std::string_view next_pool,
                               std::string_view change_id);

/// Changes nothing but the epoch of an active host. Write it before releasing a
/// granted stop of an active host: BeginDrain must be swapped against the
/// version of the record that was read before the grant, so that it fails after
/// this and cannot follow a release.
result<host_record> FenceHost(const host_record& record,
                              std::string_view change_id);

/// Returns a draining or empty host to its pool.
result<host_record> CancelDrain(const host_record& record,
                                std::string_view change_id);

/// True if nothing runs on the host and nothing can be sent to it: every member
/// has confirmed the epoch of the drain with nothing in flight, and the runners
/// report nothing running. A member that did not confirm may still be sending.
bool DrainComplete(const host_record& record,
                   std::span<const std::string> members,
                   std::span<const drain_confirmation> confirmations,
                   std::uint32_t running);

/// Marks a draining host as empty. Requires DrainComplete.
result<host_record> MarkEmpty(const host_record& record,
                              std::string_view change_id);

result<host_record> BeginMaintenance(const host_record& record,
                                     std::string_view change_id);

/// Makes an empty, maintained or repaired host active in the pool that it was
/// to return to. `completed_wave` is empty unless a wave completed here.
result<host_record> ReturnHost(const host_record& record,
                               std::string_view completed_wave,
                               std::string_view change_id);

/// Records an unplanned failure in any state.
result<host_record> MarkFailed(const host_record& record,
                               std::string_view change_id);

}  // namespace radishwing::maintenance
