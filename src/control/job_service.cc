#include "src/control/job_service.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace radishwing::control {
namespace {

jobs::job_options Options(const job_start& start) {
  jobs::job_options options;
  options.data_centre = start.data_centre;
  options.owner = start.owner;
  options.refresh_ms = start.refresh_ms;
  return options;
}

std::string MetricState(jobs::job_state state) {
  if (state == jobs::job_state::kAccepted) return "waiting";
  return state == jobs::job_state::kUnknown ? "unknown" : "running";
}

}  // namespace

job_service::job_service(boost::asio::io_context& io, platform::kv_store& store,
                         platform::task_client& tasks, job_start start)
    : placement_(start.data_centre),
      manager_(io, store, tasks, Options(start), Hooks(io, start)) {}

jobs::job_hooks job_service::Hooks(boost::asio::io_context& io,
                                   const job_start& start) {
  jobs::job_hooks hooks;
  hooks.hosts = [this] { return fleet_; };
  hooks.choose_host = [this](const jobs::job_record& job,
                             std::span<const std::string> avoid) {
    return placement_.Choose(job, avoid);
  };
  // The answer comes on the decide thread.
  hooks.acquire_token = [&io, acquire = start.acquire_token](
                            const std::string& team,
                            std::function<void(bool)> granted) {
    acquire(team, [&io, granted](bool yes) {
      boost::asio::post(io, [granted, yes] { granted(yes); });
    });
  };
  hooks.release_token = start.release_token;
  return hooks;
}

job_counts job_service::SetHosts(const std::vector<job_host>& hosts) {
  auto fleet = std::make_shared<std::vector<platform::host_info>>();
  for (const job_host& host : hosts) {
    const platform_host& about = host.about;
    fleet->push_back({about.host, about.data_centre, about.rack, about.cores,
                      about.memory_mb, about.accelerators,
                      platform::host_state::kUp});
  }
  fleet_ = std::move(fleet);
  placement_.SetHosts(hosts);
  job_counts counts;
  counts.complete = !manager_.Adopting();
  std::set<std::string> live;
  manager_.ForEach([&](const jobs::job_record& job) {
    auto& states = counts.by_service[job.service];
    if (HasEnded(job.state)) return;
    ++states[MetricState(job.state)];
    live.insert(TaskIdOf(job));
    // A recovered job may run on a host that its record does not name yet.
    if (job.in_doubt && job.host.empty()) counts.complete = false;
    if (!job.host.empty()) ++counts.tasks_on[job.host];
  });
  placement_.KeepOnly(live);
  return counts;
}

}  // namespace radishwing::control
