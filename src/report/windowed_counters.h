#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/report/window_tier.h"

namespace radishwing::report {

/// Counters of one process, by series.
using counter_values = std::map<std::string, std::uint64_t, std::less<>>;

/// Counters of every scraped process, keyed by `<program>/<host>@<start>`. A
/// restarted process has a new key, so the counters under one key never
/// decrease.
using process_counters = std::map<std::string, counter_values, std::less<>>;

/// Counter increases over the windows of the report, for one service or for the
/// fleet. Includes the last value of every counter, so that adding a scrape
/// depends on the record alone: after a conflict or a lost response of the
/// store the record can be read and the scrape added again without counting an
/// increase twice.
class windowed_counters {
 public:
  /// Adds a scrape taken at `now`, wall-clock time in ms. The first scrape is
  /// the baseline and adds no increase. Neither does a scrape that is older
  /// than one already added.
  void Add(millis now, const process_counters& scrape);

  /// Returns the increase of a series over the window kTiers[tier], which ends
  /// at the last scrape.
  std::uint64_t Sum(std::string_view series, std::size_t tier) const;

  /// Returns how much of the window kTiers[tier] the scrapes cover, in ms.
  millis Coverage(std::size_t tier) const;

  /// Serializes to JSON. Fails with kFull above kMaxTextBytes.
  result<std::string> Encode() const;
  static result<windowed_counters> Decode(std::string_view text);

  /// Below the store's limit of 1 MB for a value.
  static constexpr std::size_t kMaxTextBytes = 999'000;

 private:
  struct last_scrape {
    millis last_seen_ms = 0;
    counter_values values;
  };

  counter_values ComputeIncreases(const process_counters& scrape) const;
  void StoreLastValues(millis now, const process_counters& scrape);
  void DistributeIncreases(millis from, millis to,
                           const counter_values& increases);
  void DropExpired();

  millis first_ms_ = 0;  ///< 0 before the first scrape.
  millis last_ms_ = 0;
  std::map<std::string, last_scrape, std::less<>> processes_;
  /// Increases for each tier, keyed by the start of the bucket.
  std::array<std::map<millis, counter_values>, kTiers.size()> buckets_;
};

}  // namespace radishwing::report
