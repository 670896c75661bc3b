#pragma once

#include <cstdint>

namespace radishwing::membership {

/// News of a member whose row the receiver already has: 16 bytes instead of
/// the 100 of a row.
struct heartbeat_beat {
  std::uint64_t tag = 0;  ///< Hash of host and incarnation.
  std::uint64_t heartbeat = 0;
};

}  // namespace radishwing::membership
