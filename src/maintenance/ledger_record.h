#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "src/base/result.h"

namespace radishwing::maintenance {

/// Why a host is not available, as entered in the ledger, for failures.
inline constexpr std::string_view kFailedReason = "failed";

/// The store record `ledger/<pool>`: which hosts of a pool are available.
struct ledger_record {
  std::string pool;
  std::uint32_t floor = 0;  ///< Fewest available hosts after a planned stop.
  std::map<std::string, std::string, std::less<>> hosts;  ///< Host to rack.
  std::map<std::string, std::string, std::less<>> unavailable;  ///< To reason.
  std::string rack_in_wave;  ///< Rack of the planned stops; empty if none.
  std::string change_id;

  std::uint32_t Available() const {
    return static_cast<std::uint32_t>(hosts.size() - unavailable.size());
  }
  /// Available hosts above the floor; negative if failures broke it.
  std::int64_t Margin() const { return std::int64_t{Available()} - floor; }
  /// Hosts that are unavailable for another reason than a failure.
  std::uint32_t PlannedStops() const;

  bool operator==(const ledger_record&) const = default;
};

/// JSON text of `record` for the store.
std::string FormatLedgerRecord(const ledger_record& record);

/// Reads the text of FormatLedgerRecord. Fails with kInvalid.
result<ledger_record> ParseLedgerRecord(std::string_view text);

}  // namespace radishwing::maintenance
