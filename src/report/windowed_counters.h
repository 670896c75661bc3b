#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/report/report_window.h"

namespace radishwing::report {

/// Counter values or increases, keyed by the name of the series.
using counter_values = std::map<std::string, std::uint64_t, std::less<>>;

/// Counters of every scraped process, keyed by the process name
/// `<program>/<host>@<start>`. A restarted process has a new name, so the
/// counters under one name never decrease.
using counters_by_process = std::map<std::string, counter_values, std::less<>>;

/// Increases of counters over the windows of the report, for one service or for
/// the fleet. The object is stored as a record and includes the highest value
/// of every counter. A scrape that is added again after a conflict or a lost
/// response of the store is therefore not counted twice.
class windowed_counters {
 public:
  /// Adds the counters of a scrape taken at `now`, wall-clock time in ms. The
  /// first scrape only sets the baseline. A later scrape adds an increase for
  /// each counter that exceeds its highest value so far.
  void AddScrape(millis now, const counters_by_process& counters);

  /// Returns the increase of a series, summed over all processes, in the window
  /// kReportWindows[window_index].
  std::uint64_t SumIncreases(std::string_view series,
                             std::size_t window_index) const;

  /// Returns how much of the window kReportWindows[window_index] the scrapes
  /// cover, in ms.
  millis CoverageMs(std::size_t window_index) const;

  /// Returns this object as JSON. Fails with kFull if the text exceeds
  /// kMaxTextBytes.
  result<std::string> Encode() const;

  /// Parses the result of Encode(). Fails with kInvalid if `text` is malformed.
  static result<windowed_counters> Decode(std::string_view text);

  /// Maximum size of the JSON text, below the store's limit of 1 MB for a
  /// value.
  static constexpr std::size_t kMaxTextBytes = 999'000;

 private:
  /// State of one scraped process.
  struct known_process {
    /// Wall-clock time of the last scrape that includes the process.
    millis last_seen_ms = 0;
    counter_values values;  ///< Highest value of each counter so far.
  };

  /// Returns the increase of each series over the stored highest values, summed
  /// over all processes.
  counter_values ComputeIncreases(const counters_by_process& counters) const;
  void StoreHighestValues(millis now, const counters_by_process& counters);
  /// Adds the increases between two scrapes, taken at `from` and `to`, to the
  /// buckets of every window.
  void DistributeIncreases(millis from, millis to,
                           const counter_values& increases);
  /// Removes the buckets that lie before the start of their window, and the
  /// processes whose last scrape lies before the start of the longest window.
  void DropExpired();

  /// Wall-clock time of the first scrape; 0 if there is none yet.
  millis first_scrape_ms_ = 0;
  /// Wall-clock time of the last scrape; 0 if there is none yet.
  millis last_scrape_ms_ = 0;
  /// Scraped processes, keyed by process name.
  std::map<std::string, known_process, std::less<>> processes_;
  /// Increases in each bucket, indexed like kReportWindows and keyed by the
  /// start of the bucket.
  std::array<std::map<millis, counter_values>, kReportWindows.size()> buckets_;
};

}  // namespace radishwing::report
