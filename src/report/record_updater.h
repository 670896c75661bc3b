#pragma once

#include <string>

#include "src/report/record_store.h"
#include "src/report/windowed_counters.h"

namespace radishwing::report {

/// Adds a scrape to the stored record `name` and returns the updated record.
/// After a conflict or a lost response the record is read again and the update
/// retried, with at most kMaxAttempts attempts.
result<windowed_counters> AddScrapeToRecord(const record_store& store,
                                            const std::string& name, millis now,
                                            const process_counters& scrape);

inline constexpr int kMaxAttempts = 4;

}  // namespace radishwing::report
