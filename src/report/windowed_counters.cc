#include "src/report/windowed_counters.h"

#include <algorithm>

namespace radishwing::report {
namespace {

// How long windowed_counters stores the counters of a process after the last
// scrape that includes the process.
constexpr millis kProcessRetentionMs = kReportWindows.back().length_ms;

}  // namespace

void windowed_counters::AddScrape(millis now,
                                  const counters_by_process& counters) {
  if (first_scrape_ms_ == 0) {
    first_scrape_ms_ = last_scrape_ms_ = now;
    StoreHighestValues(now, counters);
    return;
  }
  // Never uses a time before the last scrape. Several report processes may add
  // scrapes to the same stored counters, and their clocks may differ.
  now = std::max(now, last_scrape_ms_);
  DistributeIncreases(last_scrape_ms_, now, ComputeIncreases(counters));
  last_scrape_ms_ = now;
  StoreHighestValues(now, counters);
  DropExpired();
}

counter_values windowed_counters::ComputeIncreases(
    const counters_by_process& counters) const {
  counter_values increases;
  for (const auto& [name, values] : counters) {
    const auto known = processes_.find(name);
    for (const auto& [series, value] : values) {
      std::uint64_t last_value = 0;
      if (known != processes_.end()) {
        const auto last = known->second.values.find(series);
        if (last != known->second.values.end()) last_value = last->second;
      }
      if (value > last_value) increases[series] += value - last_value;
    }
  }
  return increases;
}

// Stores the maximum of each counter, because another report process may add an
// older scrape after a newer one.
void windowed_counters::StoreHighestValues(
    millis now, const counters_by_process& counters) {
  for (const auto& [name, values] : counters) {
    known_process& known = processes_[name];
    known.last_seen_ms = now;
    for (const auto& [series, value] : values) {
      std::uint64_t& stored = known.values[series];
      stored = std::max(stored, value);
    }
  }
}

// Assumes a constant rate between two scrapes. Rounds the cumulative increase
// instead of each bucket's portion, so that the portions add up to the
// increase.
void windowed_counters::DistributeIncreases(millis from, millis to,
                                            const counter_values& increases) {
  const double length = static_cast<double>(std::max<millis>(to - from, 1));
  for (std::size_t window_index = 0; window_index < kReportWindows.size();
       ++window_index) {
    const millis bucket = kReportWindows[window_index].bucket_ms;
    const millis first =
        std::max(from, to - kReportWindows[window_index].length_ms - bucket);
    for (const auto& [series, increase] : increases) {
      const auto total_until =
          [&, total = static_cast<double>(increase)](millis at) {
            return static_cast<std::uint64_t>(
                total * static_cast<double>(at - from) / length);
          };
      std::uint64_t distributed = total_until(first);
      for (millis at = first; distributed < increase;) {
        const millis start = at / bucket * bucket;
        at = std::min(start + bucket, to);
        const std::uint64_t next_distributed =
            at == to ? increase : total_until(at);
        if (next_distributed > distributed) {
          buckets_[window_index][start][series] +=
              next_distributed - distributed;
        }
        distributed = next_distributed;
      }
    }
  }
}

void windowed_counters::DropExpired() {
  for (std::size_t window_index = 0; window_index < kReportWindows.size();
       ++window_index) {
    auto& buckets = buckets_[window_index];
    const millis oldest = last_scrape_ms_ -
                          kReportWindows[window_index].length_ms -
                          kReportWindows[window_index].bucket_ms;
    buckets.erase(buckets.begin(), buckets.upper_bound(oldest));
  }
  std::erase_if(processes_, [&](const auto& item) {
    return item.second.last_seen_ms < last_scrape_ms_ - kProcessRetentionMs;
  });
}

std::uint64_t windowed_counters::SumIncreases(std::string_view series,
                                              std::size_t window_index) const {
  const millis oldest = last_scrape_ms_ -
                        kReportWindows[window_index].length_ms -
                        kReportWindows[window_index].bucket_ms;
  std::uint64_t sum = 0;
  for (const auto& [start, values] : buckets_[window_index]) {
    const auto found = values.find(series);
    if (start > oldest && found != values.end()) sum += found->second;
  }
  return sum;
}

millis windowed_counters::CoverageMs(std::size_t window_index) const {
  return std::min(last_scrape_ms_ - first_scrape_ms_,
                  kReportWindows[window_index].length_ms);
}

}  // namespace radishwing::report
