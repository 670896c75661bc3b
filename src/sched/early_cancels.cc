#include "src/sched/early_cancels.h"

namespace radishwing::sched {

void early_cancels::Add(const std::string& job, std::uint64_t revision,
                        millis now) {
  const auto [it, inserted] = requests_.try_emplace(job, entry{revision, now});
  if (!inserted && revision > it->second.revision) it->second = {revision, now};
}

bool early_cancels::Take(const std::string& job, std::uint64_t job_revision) {
  const auto it = requests_.find(job);
  if (it == requests_.end()) return false;
  const std::uint64_t revision = it->second.revision;
  requests_.erase(it);
  return revision == 0 || revision > job_revision;
}

std::vector<early_cancels::request> early_cancels::Expired(
    millis now, millis retention_ms, std::size_t limit) const {
  std::vector<request> expired;
  for (const auto& [job, added] : requests_) {
    if (expired.size() >= limit) break;
    if (added.revision > 0 && now - added.added_at > retention_ms) {
      expired.push_back({job, added.revision});
    }
  }
  return expired;
}

}  // namespace radishwing::sched
