#include "tools/load/load_summary.h"

#include <algorithm>
#include <sstream>

namespace radishwing::tools {

void load_summary::Add(const load_record& record) {
  ++by_outcome_[static_cast<int>(record.outcome)];
  ++by_status_[record.status];
  if (record.mismatched) ++mismatched_;
  if (record.outcome == load_outcome::kAnswered) {
    latencies_us_.push_back(record.latency_us);
  }
}

std::int64_t load_summary::Percentile(double part) const {
  if (latencies_us_.empty()) return 0;
  std::vector<std::int64_t> sorted = latencies_us_;
  const auto index = std::min(sorted.size() - 1,
                              static_cast<std::size_t>(part * sorted.size()));
  std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
  return sorted[index];
}

std::string load_summary::Format(double seconds) const {
  std::ostringstream line;
  line << "load: answered=" << by_outcome_[0] << " refused=" << by_outcome_[1]
       << " unknown=" << by_outcome_[2] << " not_sent=" << by_outcome_[3]
       << " mismatched=" << mismatched_ << " per_second="
       << static_cast<std::int64_t>(seconds > 0 ? by_outcome_[0] / seconds : 0)
       << " p50_us=" << Percentile(0.5) << " p99_us=" << Percentile(0.99)
       << " max_us=" << Percentile(1) << " status=";
  const char* separator = "";
  for (const auto& [status, count] : by_status_) {
    line << separator << status << ':' << count;
    separator = ",";
  }
  return line.str();
}

}  // namespace radishwing::tools
