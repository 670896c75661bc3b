#include "src/control/job_placement.h"

#include <functional>

namespace radishwing::control {

void job_placement::SetHosts(const std::vector<job_host>& hosts) {
  std::set<std::string> listed;
  for (const job_host& host : hosts) {
    const platform_host& about = host.about;
    if (about.data_centre != data_centre_) continue;
    listed.insert(about.host);
    placement::placement_host place;
    place.host = about.host;
    place.failure_domain = about.rack;
    place.capacity = {about.cores, about.memory_mb, about.accelerators};
    place.accepts_work = host.accepts_work;
    hosts_[about.host] = place;
    index_.Update(place);
  }
  std::erase_if(hosts_, [&](const auto& known) {
    if (listed.contains(known.first)) return false;
    index_.Remove(known.first);
    return true;
  });
}

void job_placement::Release(const std::string& task) {
  auto held = reserved_.find(task);
  if (held == reserved_.end()) return;
  index_.Release(held->second.host, held->second.amount);
  reserved_.erase(held);
}

std::optional<std::string> job_placement::Choose(
    const jobs::job_record& job, std::span<const std::string> avoid) {
  const std::string task = jobs::TaskIdOf(job);
  Release(task);
  auto block = [&](bool blocked) {
    for (const std::string& host : avoid) {
      auto found = hosts_.find(host);
      if (found == hosts_.end()) continue;
      placement::placement_host place = found->second;
      if (blocked) place.accepts_work = false;
      index_.Update(place);
    }
  };
  placement::work_need need;
  need.amount = {job.cores, job.memory_mb, job.accelerators};
  need.spread = std::hash<std::string>()(job.id);
  block(true);
  auto placed = index_.Place(need);
  block(false);
  if (!Ok(placed)) return std::nullopt;
  reserved_[task] = {Value(placed), need.amount};
  return Value(placed);
}

void job_placement::KeepOnly(const std::set<std::string>& live) {
  std::vector<std::string> ended;
  for (const auto& [task, held] : reserved_) {
    if (!live.contains(task)) ended.push_back(task);
  }
  for (const std::string& task : ended) Release(task);
}

}  // namespace radishwing::control
