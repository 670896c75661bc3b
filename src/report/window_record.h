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

/// Counters of every process that was scraped, by
/// `<program>/<host>@<start>`. A process that restarts is another one, so the
/// counters of each never go down.
using process_counters = std::map<std::string, counter_values, std::less<>>;

/// Increases of counters over the windows of the report, for one service or
/// for the fleet. It holds the last value of every counter too, so that adding
/// a scrape is a function of the record alone: after a conflict or a lost
/// answer of the store the record is read again and the scrape is added again,
/// and no increase is counted twice.
class window_record {
 public:
  /// Adds a scrape taken at `now`, wall time in ms. The first scrape of a
  /// record is its base and adds nothing. A scrape older than one that was
  /// added before adds nothing either.
  void Add(millis now, const process_counters& scrape);

  /// Increase of a series over a window of kTiers, as of the last scrape.
  std::uint64_t Sum(std::string_view series, std::size_t tier) const;

  /// Length of the part of a window that scrapes cover, in ms.
  millis Covered(std::size_t tier) const;

  /// JSON text for the store. At most kMaxTextBytes; above it kFull.
  result<std::string> Encode() const;
  static result<window_record> Decode(std::string_view text);

  /// The store keeps values of at most 1 MB.
  static constexpr std::size_t kMaxTextBytes = 999'000;

 private:
  struct process {
    millis seen_ms = 0;
    counter_values values;
  };

  counter_values Increases(const process_counters& scrape) const;
  void Remember(millis now, const process_counters& scrape);
  void Spread(millis from, millis to, const counter_values& increases);
  void DropOld();

  millis first_ms_ = 0;  ///< 0 before the first scrape.
  millis last_ms_ = 0;
  std::map<std::string, process, std::less<>> processes_;
  /// Increases by the start of their bucket.
  std::array<std::map<millis, counter_values>, kTiers.size()> buckets_;
};

}  // namespace radishwing::report
