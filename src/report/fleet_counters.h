#pragma once

#include <map>
#include <span>
#include <string>

#include "src/report/scrape.h"
#include "src/report/windowed_counters.h"

namespace radishwing::report {

/// Name of the record for counters that belong to no single service: host moves
/// and slot time of teams.
inline constexpr const char* kFleetRecordName = "fleet";

/// Outcomes in radishwing_requests_total that consume the error budget.
inline constexpr const char* kBadOutcomes[] = {
    "late", "refused", "unknown", "truncated", "cut_off", "failed"};

/// Groups the counters of all scrapes by record name: `service-<service>` or
/// kFleetRecordName. Series of a service are named `<team>/<outcome>`; series
/// of the fleet are named `moves/<pool>` and `slot_ms/<team>`.
std::map<std::string, process_counters> CollectCounters(
    std::span<const scrape> scrapes);

/// Returns the name of the record for a service's counters.
std::string ServiceRecordName(std::string_view service);

}  // namespace radishwing::report
