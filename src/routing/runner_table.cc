#include "src/routing/runner_table.h"

namespace radishwing::routing {

runner_group& runner_table::Group(std::string_view service) {
  auto found = groups_.find(service);
  if (found != groups_.end()) return *found->second;
  auto made = std::make_unique<runner_group>(own_data_centre_, ++seed_);
  return *groups_.emplace(std::string(service), std::move(made)).first->second;
}

void runner_table::Apply(std::span<const runner_info> runners) {
  std::map<std::string, std::vector<runner_info>, std::less<>> by_service;
  for (const runner_info& runner : runners) {
    by_service[runner.service].push_back(runner);
    Group(runner.service);
  }
  for (auto& [service, group] : groups_) {
    auto found = by_service.find(service);
    std::span<const runner_info> list;
    if (found != by_service.end()) list = found->second;
    group->Apply(list, next_index_);
  }
}

std::vector<std::uint32_t> runner_table::RemoveGone() {
  std::vector<std::uint32_t> removed;
  for (auto& [service, group] : groups_) {
    auto some = group->RemoveGone();
    removed.insert(removed.end(), some.begin(), some.end());
  }
  return removed;
}

}  // namespace radishwing::routing
