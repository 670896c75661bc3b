#pragma once

#include <map>
#include <span>
#include <string>

#include "src/report/scrape.h"
#include "src/report/window_record.h"

namespace radishwing::report {

/// Name of the record that holds what does not belong to one service: moves of
/// hosts and slot time of teams.
inline constexpr const char* kFleetRecord = "fleet";

/// Outcomes in radishwing_requests_total that count against the objective.
inline constexpr const char* kBadOutcomes[] = {
    "late", "refused", "unknown", "truncated", "cut_off", "failed"};

/// Counters of all scrapes by record: `service-<service>` or kFleetRecord.
/// Series of a service are `<team>/<outcome>`; those of the fleet are
/// `moves/<pool>` and `slot_ms/<team>`.
std::map<std::string, process_counters> CollectCounters(
    std::span<const scrape> scrapes);

/// Name of the record of a service.
std::string ServiceRecord(std::string_view service);

}  // namespace radishwing::report
