#pragma once

#include <string>
#include <string_view>

namespace radishwing::sched {

/// Why a host moves.
enum class move_reason {
  kBlocked,      ///< Work of the new pool that can end in time is blocked.
  kStandby,      ///< No pool needs the host.
  kLateBacklog,  ///< Late work of the new pool is blocked.
};

/// Returns the lower-case name of a reason.
std::string_view MoveReasonName(move_reason reason);

/// A decision to move a host to another pool.
struct host_move {
  std::string host;     ///< Name of the host.
  std::string to_pool;  ///< Name of the destination pool.
  move_reason reason = move_reason::kBlocked;
};

}  // namespace radishwing::sched
