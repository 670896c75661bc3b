#include <utility>

#include "src/base/log.h"
#include "src/jobs/job_driver_impl.h"
#include "src/jobs/job_machine.h"

namespace radishwing::jobs {

using platform::start_outcome;
using platform::start_state;
using platform::task_status;

void job_driver::impl::Start(job_record& job, progress& p) {
  std::vector<std::string> avoid = health.Avoid(Now());
  avoid.insert(avoid.end(), job.failed_on.begin(), job.failed_on.end());
  avoid.insert(avoid.end(), p.refused_by.begin(), p.refused_by.end());
  const auto host = hooks.choose_host(job, avoid);
  if (!host) {
    p.refused_by.clear();
    // The token is of more use to a job that can start.
    ReleaseToken(p);
    Schedule(job.id, p, options.retry_ms);
    return;
  }
  // Not written to the store: the task's id tells whoever recovers the job
  // whether it was started, and a job may wait for room for long.
  ApplyStarting(job, *host);
  BeginCall(p);
  platform::task_spec spec;
  spec.id = TaskIdOf(job);
  spec.service = job.service;
  spec.team = job.team;
  spec.host = *host;
  spec.cores = job.cores;
  spec.memory_mb = job.memory_mb;
  spec.accelerators = job.accelerators;
  spec.body = job.body;
  spec.lease_ms = options.lease_ms;
  spec.preemptible = job.idempotent;
  tasks.Start(std::move(spec),
              AfterCall(job.id, [](impl& self, job_record& j, progress& pr,
                                   const start_outcome& outcome) {
                self.OnStarted(j, pr, outcome);
              }));
}

void job_driver::impl::OnStarted(job_record& job, progress& p,
                                 const start_outcome& outcome) {
  const std::string host = job.host;
  const bool changed = ApplyStarted(job, outcome.state);
  if (outcome.state == start_state::kStarted) {
    p.started_at = Now();
    p.refused_by.clear();
    Changed(job, p, changed, options.poll_least_ms);
    return;
  }
  LogInfo("jobs", "task not started, job=" + job.id + " host=" + host +
                      " cause=" + outcome.message);
  const bool refused = outcome.state == start_state::kRefused;
  if (refused) {
    p.refused_by.push_back(host);
  } else {
    start_after = Now() + options.retry_ms;
    // Of no use while the platform is out of reach.
    if (!job.in_doubt) ReleaseToken(p);
  }
  Changed(job, p, HasEnded(job.state), refused ? 0 : options.retry_ms);
}

void job_driver::impl::Renew(job_record& job, progress& p) {
  BeginCall(p);
  tasks.Renew(TaskIdOf(job),
              AfterCall(job.id, [](impl& self, job_record& j, progress& pr,
                                   const result<done>& renewed) {
                if (Ok(renewed)) {
                  self.Schedule(j.id, pr, self.PollDelay(pr));
                } else if (Error(renewed).kind == failure_kind::kConflict ||
                           Error(renewed).kind == failure_kind::kNotFound) {
                  self.Poll(j, pr);
                } else {
                  self.Schedule(j.id, pr, self.RetryDelay(pr));
                }
              }));
}

void job_driver::impl::Poll(job_record& job, progress& p) {
  BeginCall(p);
  tasks.Get(TaskIdOf(job),
            AfterCall(job.id, [](impl& self, job_record& j, progress& pr,
                                 const result<task_status>& status) {
              self.OnPolled(j, pr, status);
            }));
}

void job_driver::impl::OnPolled(job_record& job, progress& p,
                                const result<task_status>& status) {
  if (!Ok(status)) {
    const bool no_task = Error(status).kind == failure_kind::kNotFound;
    Changed(job, p, no_task && ApplyNoTask(job), no_task ? 0 : RetryDelay(p));
    return;
  }
  const platform::task_state state = Value(status).state;
  if (state == platform::task_state::kFailed) {
    health.OnFailed(job.host, job.id, Now());
  } else if (state == platform::task_state::kFinished) {
    health.OnFinished(job.host);
  }
  const bool at_fault = health.AtFault(job.host);
  const bool changed = ApplyTask(job, state, FailureLimit(job), at_fault);
  Changed(job, p, changed, changed ? 0 : PollDelay(p));
}

void job_driver::impl::Stop(job_record& job, progress& p) {
  BeginCall(p);
  // Whatever the answer, the task's state tells the effect.
  tasks.Stop(TaskIdOf(job),
             AfterCall(job.id, [](impl& self, job_record& j, progress& pr,
                                  const result<done>&) { self.Poll(j, pr); }));
}

void job_driver::impl::BeginCall(progress& p) {
  p.busy = true;
  ++calls;
}

}  // namespace radishwing::jobs
