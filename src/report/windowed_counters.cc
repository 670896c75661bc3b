#include "src/report/windowed_counters.h"

#include <algorithm>

namespace radishwing::report {
namespace {

// Counters of a process that no scrape has included for the longest window are
// dropped.
constexpr millis kProcessRetentionMs = kTiers.back().window_ms;

}  // namespace

void windowed_counters::Add(millis now, const process_counters& scrape) {
  if (first_ms_ == 0) {
    first_ms_ = last_ms_ = now;
    StoreLastValues(now, scrape);
    return;
  }
  // Reports may run on machines whose clocks differ; the record's time never
  // decreases.
  now = std::max(now, last_ms_);
  DistributeIncreases(last_ms_, now, ComputeIncreases(scrape));
  last_ms_ = now;
  StoreLastValues(now, scrape);
  DropExpired();
}

counter_values windowed_counters::ComputeIncreases(
    const process_counters& scrape) const {
  counter_values increases;
  for (const auto& [name, values] : scrape) {
    const auto known = processes_.find(name);
    for (const auto& [series, value] : values) {
      std::uint64_t base = 0;
      if (known != processes_.end()) {
        const auto before = known->second.values.find(series);
        if (before != known->second.values.end()) base = before->second;
      }
      if (value > base) increases[series] += value - base;
    }
  }
  return increases;
}

// Stores the maximum, since an older scrape may arrive after a newer one from
// another report.
void windowed_counters::StoreLastValues(millis now,
                                        const process_counters& scrape) {
  for (const auto& [name, values] : scrape) {
    last_scrape& known = processes_[name];
    known.last_seen_ms = now;
    for (const auto& [series, value] : values) {
      std::uint64_t& stored = known.values[series];
      stored = std::max(stored, value);
    }
  }
}

// Assumes a constant rate between two scrapes. Rounds the running total, not
// each portion, so that the portions add up to the increase.
void windowed_counters::DistributeIncreases(millis from, millis to,
                                            const counter_values& increases) {
  const double length = static_cast<double>(std::max<millis>(to - from, 1));
  for (std::size_t tier = 0; tier < kTiers.size(); ++tier) {
    const millis bucket = kTiers[tier].bucket_ms;
    const millis first = std::max(from, to - kTiers[tier].window_ms - bucket);
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
          buckets_[tier][start][series] += next_distributed - distributed;
        }
        distributed = next_distributed;
      }
    }
  }
}

void windowed_counters::DropExpired() {
  for (std::size_t tier = 0; tier < kTiers.size(); ++tier) {
    auto& buckets = buckets_[tier];
    const millis oldest =
        last_ms_ - kTiers[tier].window_ms - kTiers[tier].bucket_ms;
    buckets.erase(buckets.begin(), buckets.upper_bound(oldest));
  }
  std::erase_if(processes_, [&](const auto& item) {
    return item.second.last_seen_ms < last_ms_ - kProcessRetentionMs;
  });
}

std::uint64_t windowed_counters::Sum(std::string_view series,
                                     std::size_t tier) const {
  const millis oldest =
      last_ms_ - kTiers[tier].window_ms - kTiers[tier].bucket_ms;
  std::uint64_t sum = 0;
  for (const auto& [start, values] : buckets_[tier]) {
    const auto found = values.find(series);
    if (start > oldest && found != values.end()) sum += found->second;
  }
  return sum;
}

millis windowed_counters::Coverage(std::size_t tier) const {
  return std::min(last_ms_ - first_ms_, kTiers[tier].window_ms);
}

}  // namespace radishwing::report
