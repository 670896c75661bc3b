#include "tools/platform_fake/call_counter.h"

namespace radishwing::platform_fake {

void call_counter::Count(std::string_view kind, millis now) {
  auto found = kinds_.find(kind);
  if (found == kinds_.end()) {
    found = kinds_.emplace(std::string(kind), tally{}).first;
  }
  tally& t = found->second;
  ++t.total;
  const millis second = now / 1000;
  const std::size_t slot = static_cast<std::size_t>(second) % kSeconds;
  if (t.second[slot] != second) {
    t.second[slot] = second;
    t.calls[slot] = 0;
  }
  ++t.calls[slot];
}

std::uint64_t call_counter::Total(std::string_view kind) const {
  const auto found = kinds_.find(kind);
  return found == kinds_.end() ? 0 : found->second.total;
}

boost::json::object call_counter::Report(millis now) const {
  boost::json::object total;
  boost::json::object per_second;
  const millis oldest = now / 1000 - static_cast<millis>(kSeconds);
  for (const auto& [kind, t] : kinds_) {
    total[kind] = t.total;
    std::uint64_t recent = 0;
    for (std::size_t i = 0; i < kSeconds; ++i) {
      if (t.second[i] > oldest) recent += t.calls[i];
    }
    per_second[kind] = static_cast<double>(recent) / kSeconds;
  }
  return {{"total", total}, {"per_second", per_second}};
}

}  // namespace radishwing::platform_fake
