#include "src/jobs/job_driver.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/jobs/job_driver_impl.h"
#include "src/jobs/job_fit.h"
#include "src/jobs/job_machine.h"

namespace radishwing::jobs {

job_driver::impl::impl(boost::asio::io_context& io, job_store& store,
                       platform::task_client& tasks, job_options options,
                       job_hooks hooks)
    : store(store),
      tasks(tasks),
      options(std::move(options)),
      hooks(std::move(hooks)),
      timer(io) {}

void job_driver::impl::ScheduleTick() {
  timer.expires_after(std::chrono::milliseconds(options.tick_ms));
  timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (!self || error || self->stopped) return;
    self->Tick();
    self->ScheduleTick();
  });
}

void job_driver::impl::Tick() {
  const millis now = Now();
  while (!due.empty() && due.begin()->when <= now &&
         calls < options.max_calls) {
    const std::string id = due.begin()->id;
    due.erase(due.begin());
    Drive(id);
  }
}

void job_driver::impl::Schedule(const std::string& id, progress& p,
                                millis after) {
  due.erase({p.next_at, id});
  p.next_at = Now() + after;
  due.insert({p.next_at, id});
}

void job_driver::impl::Drive(const std::string& id) {
  const auto found = known.find(id);
  if (found == known.end()) return;
  progress& p = found->second;
  job_record* job = store.Find(id);
  if (!job) {
    ReleaseToken(p);
    known.erase(found);
    return;
  }
  if (p.busy) return;
  if (HasEnded(job->state)) return DriveEnded(id, p);
  const job_action action = NextAction(*job);
  if (action == job_action::kStart && Now() < start_after) {
    Schedule(id, p, start_after - Now());
    return;
  }
  if (p.token == token_state::kNone) AskToken(id, p);
  switch (action) {
    case job_action::kStart:
      if (p.token == token_state::kHeld) Start(*job, p);
      break;
    case job_action::kRenew:
      Renew(*job, p);
      break;
    case job_action::kPoll:
      Poll(*job, p);
      break;
    case job_action::kStop:
      Stop(*job, p);
      break;
    case job_action::kNone:
      break;
  }
}

void job_driver::impl::LookAgain(const std::string& id) {
  const auto found = known.find(id);
  if (found == known.end() || found->second.busy || !found->second.again) {
    return;
  }
  found->second.again = false;
  Schedule(id, found->second, 0);
}

void job_driver::impl::DriveEnded(const std::string& id, progress& p) {
  ReleaseToken(p);
  if (p.ended_at < 0) p.ended_at = Now();
  const millis left = p.ended_at + options.retention_ms - Now();
  if (left > 0) {
    Schedule(id, p, left);
    return;
  }
  store.Remove(id);
  known.erase(id);
}

void job_driver::impl::AskToken(const std::string& id, progress& p) {
  p.token = token_state::kAsked;
  hooks.acquire_token(p.team, [weak = weak_from_this(), id,
                               team = p.team](bool granted) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    const auto found = self->known.find(id);
    const bool wanted = found != self->known.end() &&
                        found->second.token == token_state::kAsked;
    if (!wanted) {
      if (granted) self->hooks.release_token(team);
      return;
    }
    found->second.token = granted ? token_state::kHeld : token_state::kNone;
    if (!found->second.busy) {
      const job_record* job = self->store.Find(id);
      const bool waits = job && NextAction(*job) == job_action::kStart;
      // A running task is looked at in its own time.
      if (waits) {
        self->Schedule(id, found->second, granted ? 0 : self->options.retry_ms);
      }
    }
  });
}

void job_driver::impl::Changed(job_record& job, progress& p, bool changed,
                               millis after) {
  if (changed) store.Touch(job.id);
  if (HasEnded(job.state)) {
    DriveEnded(job.id, p);
  } else {
    Schedule(job.id, p, after);
  }
}

void job_driver::impl::ReleaseToken(progress& p) {
  if (std::exchange(p.token, token_state::kNone) == token_state::kHeld) {
    hooks.release_token(p.team);
  }
}

millis job_driver::impl::PollDelay(const progress& p) const {
  return std::clamp((Now() - p.started_at) / 4, options.poll_least_ms,
                    options.poll_most_ms);
}

millis job_driver::impl::RetryDelay(const progress& p) const {
  // Several attempts fit into a lease, and an outage of the platform does not
  // turn into a call per job every `retry_ms`.
  return std::max(options.retry_ms,
                  std::min(PollDelay(p), options.lease_ms / 6));
}

std::uint32_t job_driver::impl::FailureLimit(const job_record& job) const {
  const auto hosts = hooks.hosts();
  const auto fitting = static_cast<std::uint32_t>(
      std::count_if(hosts.begin(), hosts.end(),
                    [&](const auto& host) { return Fits(job, host); }));
  return std::clamp(fitting, 1u, options.failure_limit);
}

job_driver::job_driver(boost::asio::io_context& io, job_store& store,
                       platform::task_client& tasks, job_options options,
                       job_hooks hooks)
    : impl_(std::make_shared<impl>(io, store, tasks, std::move(options),
                                   std::move(hooks))) {
  impl_->ScheduleTick();
}

job_driver::~job_driver() {
  impl_->stopped = true;
  impl_->timer.cancel();
}

void job_driver::OnDue(const std::string& id) {
  const job_record* job = impl_->store.Find(id);
  if (!job) return;
  const auto added = impl_->known.try_emplace(id);
  impl::progress& p = added.first->second;
  if (added.second) {
    p.team = job->team;
    p.started_at = impl_->Now();
  }
  if (p.busy) {
    p.again = true;  // The end of the call would set another time.
  } else {
    impl_->Schedule(id, p, 0);
  }
}

void job_driver::OnRemoved(const std::string& id) {
  const auto found = impl_->known.find(id);
  if (found == impl_->known.end()) return;
  impl_->ReleaseToken(found->second);
  impl_->due.erase({found->second.next_at, id});
  impl_->known.erase(found);
}

std::map<std::string, std::uint32_t> job_driver::RunningByTeam() const {
  std::map<std::string, std::uint32_t> running;
  for (const auto& [id, p] : impl_->known) {
    const job_record* job = impl_->store.Find(id);
    if (!job || HasEnded(job->state)) continue;
    if (job->state != job_state::kAccepted || job->in_doubt) {
      ++running[p.team];
    }
  }
  return running;
}

}  // namespace radishwing::jobs
