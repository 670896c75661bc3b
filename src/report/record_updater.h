#pragma once

#include <string>

#include "src/report/record_store.h"
#include "src/report/windowed_counters.h"

namespace radishwing::report {

/// Adds the counters of a scrape taken at `now`, wall-clock time in ms, to the
/// stored record `name` and returns the updated record. After kConflict or
/// kTimeout, reads the record again and retries, up to kMaxUpdateAttempts
/// attempts in total.
result<windowed_counters> AddScrapeToRecord(
    const record_store& store, const std::string& name, millis now,
    const counters_by_process& counters);

/// Maximum number of attempts to add a scrape to a record.
inline constexpr int kMaxUpdateAttempts = 4;

}  // namespace radishwing::report
