#include "src/control/runner_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace radishwing::control {
namespace {

// Entries confirm within seconds; older versions are not asked for.
constexpr std::size_t kVersionsKept = 1000;

auto Fields(const routing::runner_info& r) {
  return std::tie(r.id, r.service, r.host, r.data_centre, r.rack, r.address,
                  r.slots, r.connections, r.accepts_work, r.host_epoch);
}

bool Same(const std::vector<routing::runner_info>& a,
          const std::vector<routing::runner_info>& b) {
  return std::equal(
      a.begin(), a.end(), b.begin(), b.end(),
      [](const auto& x, const auto& y) { return Fields(x) == Fields(y); });
}

}  // namespace

void runner_table::Replace(std::vector<routing::runner_info> runners,
                           std::uint64_t host_epochs) {
  bool same = built_ && Same(runners_, runners) &&
              epochs_by_version_.rbegin()->second == host_epochs;
  if (same) return;
  built_ = true;
  ++version_;
  runners_ = std::move(runners);
  epochs_by_version_[version_] = host_epochs;
  if (epochs_by_version_.size() > kVersionsKept) {
    epochs_by_version_.erase(epochs_by_version_.begin());
  }
  for (const auto& listener : listeners_) listener();
}

std::uint64_t runner_table::HostEpochsAt(std::uint64_t version) const {
  auto after = epochs_by_version_.upper_bound(version);
  return after == epochs_by_version_.begin() ? 0 : std::prev(after)->second;
}

}  // namespace radishwing::control
