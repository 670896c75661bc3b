#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/base/result.h"

namespace radishwing::maintenance {

enum class host_state { kActive, kDraining, kEmpty, kMaintenance, kFailed };

/// Reason of a drain that lends a spare host.
inline constexpr std::string_view kLendReason = "lend";

/// Stable lower-case name of a state, as in the store and in JSON.
std::string_view HostStateName(host_state state);

/// The store record `host/<data_centre>/<host>`. Every change increments
/// `epoch` and is one compare-and-swap.
struct host_record {
  std::string host;
  std::string data_centre;
  std::string rack;
  std::string pool;  ///< The one pool that the host belongs to (I2).
  host_state state = host_state::kActive;
  std::uint64_t epoch = 1;
  /// Why it is not active: "wave:<wave>", "move" or "operator". Empty if
  /// active.
  std::string reason;
  /// The pool to which it returns; empty: the same one.
  std::string next_pool;
  std::string home_pool;  ///< The spare pool that lent the host; else empty.
  std::string maintained_by;  ///< The wave that last completed here.
  std::string change_id;

  bool operator==(const host_record&) const = default;
};

/// JSON text of `record` for the store.
std::string FormatHostRecord(const host_record& record);

/// Reads the text of FormatHostRecord. Fails with kInvalid.
result<host_record> ParseHostRecord(std::string_view text);

}  // namespace radishwing::maintenance
