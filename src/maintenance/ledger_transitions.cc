#include "src/maintenance/ledger_transitions.h"

#include <string>

namespace radishwing::maintenance {
namespace {

failure Conflict(const ledger_record& ledger, std::string text) {
  return {failure_kind::kConflict,
          "pool \"" + ledger.pool + "\": " + std::move(text)};
}

ledger_record Next(const ledger_record& ledger, std::string_view change_id) {
  ledger_record next = ledger;
  next.change_id = change_id;
  return next;
}

void MakeAvailable(ledger_record& next, std::string_view host) {
  next.unavailable.erase(std::string(host));
  if (next.PlannedStops() == 0) next.rack_in_wave.clear();
}

failure NotListed(const ledger_record& ledger, std::string_view host) {
  return Conflict(ledger, "host \"" + std::string(host) + "\" is not listed");
}

}  // namespace

result<ledger_record> ListHost(const ledger_record& ledger,
                               std::string_view host, std::string_view rack,
                               std::string_view change_id) {
  if (ledger.hosts.contains(host)) {
    return Conflict(ledger, "host \"" + std::string(host) + "\" is listed");
  }
  ledger_record next = Next(ledger, change_id);
  next.hosts.emplace(host, rack);
  return next;
}

result<ledger_record> UnlistHost(const ledger_record& ledger,
                                 std::string_view host,
                                 std::string_view change_id) {
  if (!ledger.hosts.contains(host)) return NotListed(ledger, host);
  if (!ledger.unavailable.contains(host)) {
    return Conflict(ledger, "host \"" + std::string(host) +
                                "\" still counts as "
                                "available");
  }
  ledger_record next = Next(ledger, change_id);
  MakeAvailable(next, host);
  next.hosts.erase(std::string(host));
  return next;
}

result<ledger_record> GrantDrain(const ledger_record& ledger,
                                 std::string_view host, std::string_view reason,
                                 std::string_view change_id) {
  const auto listed = ledger.hosts.find(host);
  if (listed == ledger.hosts.end()) return NotListed(ledger, host);
  const auto stopped = ledger.unavailable.find(host);
  if (stopped != ledger.unavailable.end()) {
    return Conflict(ledger, "host \"" + std::string(host) +
                                "\" is unavailable: " + stopped->second);
  }
  if (ledger.Margin() < 1) {
    return Conflict(ledger, std::to_string(ledger.Available()) +
                                " hosts available, floor " +
                                std::to_string(ledger.floor));
  }
  if (!ledger.rack_in_wave.empty() && ledger.rack_in_wave != listed->second) {
    return Conflict(ledger,
                    "rack \"" + ledger.rack_in_wave + "\" has planned stops");
  }
  ledger_record next = Next(ledger, change_id);
  next.unavailable.emplace(host, reason);
  next.rack_in_wave = listed->second;
  return next;
}

result<ledger_record> EnterFailure(const ledger_record& ledger,
                                   std::string_view host,
                                   std::string_view change_id) {
  if (!ledger.hosts.contains(host)) return NotListed(ledger, host);
  ledger_record next = Next(ledger, change_id);
  next.unavailable[std::string(host)] = kFailedReason;
  if (next.PlannedStops() == 0) next.rack_in_wave.clear();
  return next;
}

result<ledger_record> ReleaseHost(const ledger_record& ledger,
                                  std::string_view host,
                                  std::string_view change_id) {
  if (!ledger.unavailable.contains(host)) {
    return Conflict(ledger, "host \"" + std::string(host) + "\" is available");
  }
  ledger_record next = Next(ledger, change_id);
  MakeAvailable(next, host);
  return next;
}

ledger_record SetFloor(const ledger_record& ledger, std::uint32_t floor,
                       std::string_view change_id) {
  ledger_record next = Next(ledger, change_id);
  next.floor = floor;
  return next;
}

}  // namespace radishwing::maintenance
