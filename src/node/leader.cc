#include "src/node/leader.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "src/node/job_record_codec.h"
#include "src/node/leader_impl.h"
#include "src/node/record_keys.h"

namespace radishwing::node {
namespace {

// Retries, stuck tasks and repetitions that fall due are looked for this often.
constexpr millis kTickMs = 100;
// Ends that come together are kept together.
constexpr millis kKeepDelayMs = 15;
// Commits of progress on their way at once: at 15 jobs a commit and a few ms an
// answer, enough for the ends of a fleet of some hundred runners.
constexpr int kKeepsInFlight = 3;
// The store takes 32 entries a commit: one for the shard's key, two a job.
constexpr std::size_t kJobsPerCommit = 15;
// Run numbers of a term; a task is started less often than that in one term.
constexpr int kRunsPerTerm = 64;
// Longest time to keep the last progress when the leadership is handed over.
constexpr millis kHandOverMs = 1500;
// Late repeats of an identifier arrive within seconds of the answer.
constexpr millis kRepeatMarginMs = 60000;

}  // namespace

leader::impl::impl(node_context& context, const election& won,
                   std::function<void()> lost)
    : context(context),
      fence(won.fence),
      predecessor_until(won.predecessor_until),
      lost(std::move(lost)),
      scheduler((won.term - 1) * kRunsPerTerm + 1),
      plan_timer(context.io),
      tick_timer(context.io),
      retry_timer(context.io),
      keep_timer(context.io),
      began_at(context.now.Now()),
      lease(won.lease_renewed_at) {}

bool leader::impl::MayOrder() const {
  return !ended && !handing_over && lease.MayOrder(context.now.Now());
}

void leader::impl::Kick() {
  if (plan_pending || !ready || ended) return;
  plan_pending = true;
  plan_timer.expires_after(std::chrono::milliseconds(pacer.Delay()));
  plan_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->ended) return;
        self->plan_pending = false;
        self->Plan();
      });
}

void leader::impl::Plan() {
  if (!MayOrder()) return;
  const millis began = context.now.Now();
  const auto orders = scheduler.Plan(began, context.unix_now.Now());
  pacer.Took(context.now.Now() - began);
  for (const sched::order& order : orders) Give(order);
  AskAdvice();
  LogEvents();
  KeepProgress();
}

void leader::impl::Give(const sched::order& order) {
  const auto it = links.find(order.runner);
  const auto answered = [weak = weak_from_this(),
                         order](fleet::order_outcome outcome) {
    const auto self = weak.lock();
    if (!self || self->ended) return;
    static constexpr std::string_view kNames[] = {"start", "stop", "pace"};
    const std::string_view kind = kNames[static_cast<int>(order.kind)];
    self->context.metrics.CountOrder(kind, fleet::OrderOutcomeName(outcome));
    if (outcome != fleet::order_outcome::kAccepted) {
      self->context.log.Warning(
          "order", "order not accepted, kind=" + std::string(kind) +
                       " task=" + fleet::FormatTaskName(order.task) + " run=" +
                       std::to_string(order.run) + " runner=" + order.runner +
                       " outcome=" + fleet::OrderOutcomeName(outcome));
    }
    self->scheduler.OrderAnswered(order, outcome, self->context.now.Now());
    if (outcome != fleet::order_outcome::kAccepted) self->Kick();
  };
  if (it == links.end()) return answered(fleet::order_outcome::kNotSent);
  it->second->Send(order, answered);
}

void leader::impl::Tick() {
  tick_timer.expires_after(std::chrono::milliseconds(kTickMs));
  tick_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->ended) return;
        if (!self->MayOrder() && !self->handing_over) {
          return self->Lose("lease not renewed");
        }
        self->CheckHandOver();
        self->DropGoneLinks();
        self->RecordRunnerSet();
        self->DropOldJobs();
        if (self->ready && self->MayOrder()) self->hosts->Tick();
        self->Kick();
        self->Tick();
      });
}

// What was not kept is not acknowledged either: the successor lists it again.
void leader::impl::CheckHandOver() {
  if (!handed_over || context.now.Now() - handed_over_at < kHandOverMs) return;
  std::exchange(handed_over, nullptr)();
}

void leader::impl::SetGauges() {
  const auto reachable = static_cast<std::size_t>(std::ranges::count_if(
      links, [](const auto& entry) { return entry.second->Reachable(); }));
  context.metrics.SetRunners(reachable, links.size() - reachable);
  context.metrics.SetUnknownStarts(scheduler.UnknownStarts());
}

void leader::impl::LogEvents() {
  for (const sched::scheduler_event& event : scheduler.TakeEvents()) {
    const std::string task = fleet::FormatTaskName(event.task);
    const std::string where =
        " run=" + std::to_string(event.run) + " runner=" + event.runner;
    switch (event.kind) {
      case sched::event_kind::kTaskStarted:
        context.metrics.CountTaskStart(event.took_ms);
        context.log.Info("sched",
                         "task started, task=" + task + where +
                             " job_age_ms=" + std::to_string(event.took_ms));
        break;
      case sched::event_kind::kTaskEnded:
        context.metrics.CountTaskEnd(event.detail);
        context.log.Info("sched", "task ended, task=" + task + where +
                                      " how=" + event.detail + " took_ms=" +
                                      std::to_string(event.took_ms));
        break;
      case sched::event_kind::kTaskAdopted:
        context.log.Info("sched", "task adopted, task=" + task + where);
        break;
      case sched::event_kind::kTaskLost:
        context.metrics.CountTaskEnd("lost");
        context.log.Warning("sched", "run given up, task=" + task + where +
                                         " why=" + event.detail + " age_ms=" +
                                         std::to_string(event.took_ms));
        break;
      case sched::event_kind::kStopOrdered:
        context.log.Info("sched", "stop ordered, task=" + task + where +
                                      " why=" + event.detail);
        break;
      case sched::event_kind::kJobFinished:
        context.metrics.CountJobEnd(event.detail, event.took_ms);
        CountOutcome(event);
        context.log.Info(
            "jobs", "job finished, job=" + event.task.job +
                        " queue=" + event.runner + " state=" + event.detail +
                        " age_ms=" + std::to_string(event.took_ms));
        break;
    }
  }
}

// A cancelled job and one that never ends by itself have no outcome.
void leader::impl::CountOutcome(const sched::scheduler_event& event) {
  const sched::job_state* job = scheduler.FindJob(event.task.job);
  if (!job || job->long_running || job->phase == sched::job_phase::kCancelled) {
    return;
  }
  const bool failed = job->phase == sched::job_phase::kFailed;
  const bool good = event.took_ms <= job->ObjectiveMs();
  context.metrics.CountOutcome(job->record.queue, job->record.team,
                               failed ? "failed"
                               : good ? "good"
                                      : "late");
}

void leader::impl::AcknowledgeEnds() {
  for (auto& [id, ends] : unkept) {
    std::uint64_t number = 0;
    while (!ends.empty() &&
           (ends.front().job.empty() ||
            scheduler.IsKept(ends.front().job, ends.front().change))) {
      number = ends.front().number;
      ends.pop_front();
    }
    const auto link = links.find(id);
    if (number == 0 || link == links.end()) continue;
    link->second->Acknowledge(number);
    if (ends.empty()) link->second->Continue();
  }
}

void leader::impl::KeepProgress() {
  if (keep_pending || keeps_in_flight >= kKeepsInFlight || ended) return;
  keep_pending = true;
  keep_timer.expires_after(std::chrono::milliseconds(kKeepDelayMs));
  keep_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->ended) return;
        self->keep_pending = false;
        const auto writes = self->scheduler.TakeWrites(kJobsPerCommit);
        if (writes.empty()) {
          if (self->keeps_in_flight == 0 && self->handed_over) {
            std::exchange(self->handed_over, nullptr)();
          }
          return;
        }
        store::store_commit commit;
        commit.expected.push_back({ShardKey(), self->fence});
        for (const sched::pending_write& write : writes) {
          const std::string key = ProgressKey(write.job);
          commit.expected.push_back({key, write.record_revision});
          commit.writes.push_back({key, write.text, 0});
        }
        ++self->keeps_in_flight;
        self->context.store->Commit(
            commit, [weak, writes](result<store::commit_outcome> outcome) {
              const auto kept = weak.lock();
              if (kept && !kept->ended) kept->OnKept(writes, outcome);
            });
        self->KeepProgress();
      });
}

void leader::impl::OnKept(const std::vector<sched::pending_write>& writes,
                          result<store::commit_outcome> outcome) {
  --keeps_in_flight;
  if (Ok(outcome) && Value(outcome).committed) {
    for (const sched::pending_write& write : writes) {
      scheduler.Kept(write.job, write.change, Value(outcome).revision);
    }
    AcknowledgeEnds();
    Kick();
    return KeepProgress();
  }
  for (const sched::pending_write& write : writes) {
    scheduler.NotKept(write.job);
  }
  if (Ok(outcome)) {
    CheckConflict(Value(outcome));
    if (!ended) KeepProgress();
    return;
  }
  context.log.Warning(
      "store", "progress not kept, jobs=" + std::to_string(writes.size()) +
                   " error=" + Error(outcome).message);
  Retry([this] { KeepProgress(); });
}

// Either the shard has another leader or an earlier write without an answer
// was carried out after all.
void leader::impl::CheckConflict(const store::commit_outcome& outcome) {
  for (const store::store_item& item : outcome.current) {
    if (item.key == ShardKey()) {
      if (item.revision != fence) return Lose("shard key changed");
    } else if (item.key.starts_with(kProgressPrefix)) {
      scheduler.SetRecordRevision(item.key.substr(kProgressPrefix.size()),
                                  item.revision);
    }
  }
}

void leader::impl::OnRenewed(millis at) {
  lease.Renewed(at);
  if (!jobs_skipped || !lease.Sole(context.now.Now())) return;
  jobs_skipped = false;
  // The caller may be the watch's own handler.
  boost::asio::post(context.io, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->ended) self->WatchJobs();
  });
}

void leader::impl::DropOldJobs() {
  if (old_jobs.empty()) {
    old_jobs = scheduler.DropOld(context.now.Now(),
                                 context.settings.status_ms + kRepeatMarginMs);
  }
  if (old_jobs.empty() || keeps_in_flight > 0) return;
  store::store_commit commit;
  commit.expected.push_back({ShardKey(), fence});
  for (int i = 0; i < 8 && !old_jobs.empty(); ++i) {
    const std::string id = old_jobs.back();
    old_jobs.pop_back();
    commit.removals.push_back(JobKey(id));
    commit.removals.push_back(CancelKey(id));
    commit.removals.push_back(ProgressKey(id));
  }
  context.store->Commit(commit, [](const result<store::commit_outcome>&) {
    // A record that stays is found and dropped by the next leader.
  });
}

void leader::impl::Lose(std::string_view why) {
  if (ended) return;
  context.log.Always("leader",
                     "leadership lost, fence=" + std::to_string(fence) +
                         " why=" + std::string(why));
  Stop();
  lost();
}

void leader::impl::Stop() {
  ended = true;
  plan_timer.cancel();
  tick_timer.cancel();
  retry_timer.cancel();
  keep_timer.cancel();
  runner_watch.reset();
  job_watch.reset();
  hosts.reset();
  links.clear();
}

leader::leader(node_context& context, const election& won,
               std::function<void()> lost)
    : impl_(std::make_shared<impl>(context, won, std::move(lost))) {
  host_keeper_hooks hooks;
  hooks.runner_ended = [raw = impl_.get()](const std::string& runner) {
    raw->DropRunner(runner, "host moved or taken down");
  };
  hooks.listed = [raw = impl_.get()](const std::set<std::string>& runners,
                                     millis asked_at) {
    raw->OnHostsListed(runners, asked_at);
  };
  impl_->hosts = std::make_unique<host_keeper>(context, won, impl_->scheduler,
                                               std::move(hooks));
  impl_->Load();
  impl_->Tick();
}

leader::~leader() { impl_->Stop(); }

std::uint64_t leader::Fence() const { return impl_->fence; }
bool leader::Ready() const { return impl_->ready; }

void leader::Renewed(millis at) { impl_->OnRenewed(at); }

void leader::ConfigChanged() {
  impl_->MaybeReady();
  if (impl_->ready) impl_->scheduler.SetConfig(*impl_->context.config);
  impl_->Kick();
}

void leader::WaveRequested(const fleet::wave_request& wave) {
  if (impl_->hosts) impl_->hosts->AddWave(wave);
}

void leader::AddJob(std::string_view id, std::string_view record) {
  if (!impl_->jobs_loaded) return;  // The first reading brings it.
  store::store_item item;
  item.key = JobKey(id);
  item.value = std::string(record);
  item.revision = 1;
  impl_->OnJobItem(item);
}

void leader::CancelJob(const std::string& id) {
  impl_->scheduler.CancelJob(id, impl_->context.now.Now());
  impl_->Kick();
}

job_answer leader::State(const std::string& id) const {
  const sched::job_state* job = impl_->scheduler.FindJob(id);
  if (!job) return {};
  // A final state is told once it is kept.
  if (job->Finished() && job->kept_change != job->change) {
    return {true, job->phase == sched::job_phase::kCancelled
                      ? job->phase
                      : sched::job_phase::kRunning};
  }
  return {true, job->phase};
}

std::size_t leader::PendingCount(std::string_view queue) const {
  return impl_->scheduler.PendingCount(queue);
}

void leader::SetGauges() { impl_->SetGauges(); }

millis leader::HostOrderAge() const {
  return impl_->hosts ? impl_->hosts->OrderAge() : 0;
}

void leader::HandOver(std::function<void()> done) {
  if (impl_->handing_over) return;
  impl_->handing_over = true;
  impl_->handed_over_at = impl_->context.now.Now();
  impl_->handed_over = std::move(done);
  impl_->KeepProgress();
}

}  // namespace radishwing::node
