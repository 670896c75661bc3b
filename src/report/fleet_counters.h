#pragma once

#include <map>
#include <span>
#include <string>

#include "src/report/scrape.h"
#include "src/report/windowed_counters.h"

namespace radishwing::report {

/// Name of the record that holds the fleet-wide counters. These count the host
/// moves into each pool, and the time for which each team's requests occupied
/// runner slots.
inline constexpr const char* kFleetRecordName = "fleet";

/// Request outcomes that consume the error budget, as values of the label
/// `outcome` of the metric radishwing_requests_total.
inline constexpr const char* kBadOutcomes[] = {
    "late", "refused", "unknown", "truncated", "cut_off", "failed"};

/// Returns the counters of all scrapes, keyed by the name of the record that
/// stores them. The record of a service has the series `<team>/<outcome>`. The
/// record kFleetRecordName has the series `moves/<pool>` and `slot_ms/<team>`.
std::map<std::string, counters_by_process> CollectCounters(
    std::span<const scrape> scrapes);

/// Returns the name of the record that holds a service's counters,
/// `service-<service>`.
std::string ServiceRecordName(std::string_view service);

}  // namespace radishwing::report
