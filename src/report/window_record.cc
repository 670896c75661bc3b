#include "src/report/window_record.h"

#include <algorithm>

namespace radishwing::report {
namespace {

// A process that was not seen for the longest window is forgotten.
constexpr millis kForgetMs = kTiers.back().window_ms;

}  // namespace

void window_record::Add(millis now, const process_counters& scrape) {
  if (first_ms_ == 0) {
    first_ms_ = last_ms_ = now;
    Remember(now, scrape);
    return;
  }
  // Clocks of two operators' machines may differ; time never goes back here.
  now = std::max(now, last_ms_);
  Spread(last_ms_, now, Increases(scrape));
  last_ms_ = now;
  Remember(now, scrape);
  DropOld();
}

counter_values window_record::Increases(const process_counters& scrape) const {
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

// An older scrape may arrive after a newer one of another report.
void window_record::Remember(millis now, const process_counters& scrape) {
  for (const auto& [name, values] : scrape) {
    process& known = processes_[name];
    known.seen_ms = now;
    for (const auto& [series, value] : values) {
      std::uint64_t& kept = known.values[series];
      kept = std::max(kept, value);
    }
  }
}

// Between two scrapes the increase is taken as even. Portions are rounded
// cumulatively, so that their sum is exact.
void window_record::Spread(millis from, millis to,
                           const counter_values& increases) {
  const double length = static_cast<double>(std::max<millis>(to - from, 1));
  for (std::size_t tier = 0; tier < kTiers.size(); ++tier) {
    const millis bucket = kTiers[tier].bucket_ms;
    const millis first = std::max(from, to - kTiers[tier].window_ms - bucket);
    for (const auto& [series, increase] : increases) {
      const auto until = [&, total = static_cast<double>(increase)](millis at) {
        return static_cast<std::uint64_t>(
            total * static_cast<double>(at - from) / length);
      };
      std::uint64_t given = until(first);
      for (millis at = first; given < increase;) {
        const millis start = at / bucket * bucket;
        at = std::min(start + bucket, to);
        const std::uint64_t now_given = at == to ? increase : until(at);
        if (now_given > given) {
          buckets_[tier][start][series] += now_given - given;
        }
        given = now_given;
      }
    }
  }
}

void window_record::DropOld() {
  for (std::size_t tier = 0; tier < kTiers.size(); ++tier) {
    auto& buckets = buckets_[tier];
    const millis oldest =
        last_ms_ - kTiers[tier].window_ms - kTiers[tier].bucket_ms;
    buckets.erase(buckets.begin(), buckets.upper_bound(oldest));
  }
  std::erase_if(processes_, [&](const auto& item) {
    return item.second.seen_ms < last_ms_ - kForgetMs;
  });
}

std::uint64_t window_record::Sum(std::string_view series,
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

millis window_record::Covered(std::size_t tier) const {
  return std::min(last_ms_ - first_ms_, kTiers[tier].window_ms);
}

}  // namespace radishwing::report
