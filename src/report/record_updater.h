#pragma once

#include <string>

#include "src/report/record_store.h"
#include "src/report/window_record.h"

namespace radishwing::report {

/// Adds a scrape to the record `name` of the store and returns the record with
/// the scrape. A conflict, and a lost answer, are followed by reading the
/// record again, at most kMaxAttempts times.
result<window_record> UpdateRecord(const record_store& store,
                                   const std::string& name, millis now,
                                   const process_counters& scrape);

inline constexpr int kMaxAttempts = 4;

}  // namespace radishwing::report
