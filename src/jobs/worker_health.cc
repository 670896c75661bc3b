#include "src/jobs/worker_health.h"

#include <algorithm>

namespace radishwing::jobs {
namespace {

// Below this number the jobs are as likely to be at fault as the host.
constexpr std::uint32_t kFailuresAtFault = 3;
constexpr millis kAvoidMs = 5000;
constexpr std::uint32_t kMostDoublings = 6;  // 320 s

}  // namespace

void worker_health::OnFinished(std::string_view host) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) hosts_.erase(found);
}

void worker_health::OnFailed(std::string_view host, std::string_view job,
                             millis now) {
  if (host.empty()) return;
  entry& e = hosts_[std::string(host)];
  if (e.last_job == job) return;
  e.last_job = job;
  ++e.failures;
  if (e.failures < kFailuresAtFault) return;
  const std::uint32_t doublings =
      std::min(e.failures - kFailuresAtFault, kMostDoublings);
  e.avoid_until = now + (kAvoidMs << doublings);
}

bool worker_health::AtFault(std::string_view host) const {
  const auto found = hosts_.find(host);
  return found != hosts_.end() && found->second.failures >= kFailuresAtFault;
}

std::vector<std::string> worker_health::Avoid(millis now) const {
  std::vector<std::string> hosts;
  for (const auto& [host, e] : hosts_) {
    if (now < e.avoid_until) hosts.push_back(host);
  }
  return hosts;
}

}  // namespace radishwing::jobs
