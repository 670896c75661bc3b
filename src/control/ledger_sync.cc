#include "src/control/ledger_sync.h"

namespace radishwing::control {
namespace {

using maintenance::host_state;

/// Why a host with this record is unavailable; empty if it is active.
std::string ReasonOf(const maintenance::host_record& record) {
  if (record.state == host_state::kActive) return "";
  if (record.state == host_state::kFailed) {
    return std::string(maintenance::kFailedReason);
  }
  return record.reason.empty() ? "stopped" : record.reason;
}

void Enter(maintenance::ledger_record& next,
           const maintenance::host_record& record) {
  std::string reason = ReasonOf(record);
  if (reason.empty()) return;
  auto [entry, added] = next.unavailable.emplace(record.host, reason);
  if (record.state == host_state::kFailed) entry->second = reason;
}

}  // namespace

std::optional<maintenance::ledger_record> SyncedLedger(
    const maintenance::ledger_record& ledger, const host_records& records,
    std::uint32_t floor) {
  maintenance::ledger_record next = ledger;
  next.floor = floor;
  for (const auto& [host, record] : records) {
    if (record.pool == ledger.pool) {
      next.hosts.emplace(host, record.rack);
      Enter(next, record);
    } else if (next.hosts.erase(host) > 0) {
      next.unavailable.erase(host);
    }
  }
  if (next.PlannedStops() == 0) next.rack_in_wave.clear();
  if (next == ledger) return std::nullopt;
  return next;
}

}  // namespace radishwing::control
