#include "src/node/leader.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "src/node/leader_impl.h"
#include "src/node/record_keys.h"

namespace radishwing::node {
namespace {

// Age up to which a count of the pending jobs is reused. Callers accept a count
// that is 2,000 ms old.
constexpr millis kPendingCountMaxAgeMs = 200;
// Interval of the periodic checks, which include a scheduling pass for due
// retries, stuck tasks and due repetitions.
constexpr millis kTickIntervalMs = 100;
// Time after which a handover is completed even if some job progress is not
// stored yet.
constexpr millis kHandOverTimeoutMs = 1500;

}  // namespace

leader::impl::impl(node_context& context, const election& won,
                   std::function<void()> on_lost)
    : context(context),
      fencing_token(won.fencing_token),
      predecessor_lease_end(won.predecessor_lease_end),
      on_lost(std::move(on_lost)),
      scheduler(sched::scheduler::FirstRun(won.term)),
      pass_timer(context.io),
      tick_timer(context.io),
      retry_timer(context.io),
      save_timer(context.io),
      load_started_at(context.now.Now()),
      lease(won.lease_renewed_at) {
  scheduler.SetMaxStopDuration(context.settings.max_stop_ms);
  scheduler.SetMaxRecordBytes(context.settings.max_value_bytes);
  scheduler.SetEvacuatedDataCentres(context.evacuated_data_centres);
  scheduler.Places().speeds.SetInitialFactor(context.settings.remote_factor);
}

bool leader::impl::MaySendOrders() const {
  return !ended && !handing_over && lease.MayIssueOrders(context.now.Now());
}

void leader::impl::SchedulePass() {
  if (pass_pending || !ready || ended) return;
  pass_pending = true;
  pass_timer.expires_after(
      std::chrono::milliseconds(pacer.DelayBeforeNextPass()));
  pass_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->ended) return;
        self->pass_pending = false;
        self->RunSchedulingPass();
      });
}

void leader::impl::RunSchedulingPass() {
  if (!MaySendOrders()) return;
  hosts->ApplyHolds();
  const millis plan_started_at = context.now.Now();
  const int allowance =
      start_pace.Allowance(plan_started_at, context.MeasuredLink());
  scheduler.SetStartAllowance(allowance);
  const auto orders = scheduler.Plan(plan_started_at, context.unix_now.Now());
  start_pace.RecordStarts(allowance - scheduler.StartAllowance());
  pacer.RecordPassDuration(context.now.Now() - plan_started_at);
  for (const sched::order& order : orders) SendOrder(order);
  RequestAdvice();
  ReportSchedulerEvents();
  SaveProgress();
}

void leader::impl::SendOrder(const sched::order& order) {
  const auto it = links.find(order.runner);
  const auto on_outcome = [weak = weak_from_this(),
                           order](fleet::order_outcome outcome) {
    const auto self = weak.lock();
    if (!self || self->ended) return;
    static constexpr std::string_view kKindNames[] = {"start", "stop", "pace"};
    const std::string_view kind = kKindNames[static_cast<int>(order.kind)];
    self->context.metrics.CountOrder(kind, fleet::OrderOutcomeName(outcome));
    if (outcome != fleet::order_outcome::kAccepted) {
      self->context.log.Warning(
          "order", "order not accepted, kind=" + std::string(kind) +
                       " task=" + fleet::FormatTaskName(order.task) + " run=" +
                       std::to_string(order.run) + " runner=" + order.runner +
                       " outcome=" + fleet::OrderOutcomeName(outcome));
    }
    self->scheduler.ApplyOrderOutcome(order, outcome, self->context.now.Now());
    if (outcome != fleet::order_outcome::kAccepted) self->SchedulePass();
  };
  if (it == links.end()) return on_outcome(fleet::order_outcome::kNotSent);
  it->second->Send(order, on_outcome);
}

void leader::impl::ScheduleTick() {
  tick_timer.expires_after(std::chrono::milliseconds(kTickIntervalMs));
  tick_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->ended) return;
        if (!self->MaySendOrders() && !self->handing_over) {
          return self->EndTerm("lease not renewed");
        }
        self->CompleteOverdueHandOver();
        self->NoteUnconfirmedRunners();
        self->ReportUnpolledRunners();
        self->DropUnregisteredRunners();
        self->SaveRunnerSet();
        self->RemoveExpiredKeys();
        if (self->ready && self->MaySendOrders()) self->hosts->Tick();
        self->SchedulePass();
        self->ScheduleTick();
      });
}

// Completing a handover early loses no run ends. Run ends that are not stored
// are not acknowledged either, so the runners list them again to the next
// leader.
void leader::impl::CompleteOverdueHandOver() {
  if (!on_handover ||
      context.now.Now() - handover_started_at < kHandOverTimeoutMs)
    return;
  std::exchange(on_handover, nullptr)();
}

void leader::impl::SetGauges() {
  const auto reachable = static_cast<std::size_t>(std::ranges::count_if(
      links, [](const auto& entry) { return entry.second->Reachable(); }));
  context.metrics.SetRunnerCounts(reachable, links.size() - reachable);
  context.metrics.SetOldestPollAge(FindUnpolledRunners().oldest_age);
  context.metrics.SetUnansweredStarts(scheduler.CountUnansweredStarts());
  context.metrics.SetTeamShares(scheduler.TeamShares());
}

void leader::impl::ReportSchedulerEvents() {
  for (const sched::scheduler_event& event : scheduler.TakeEvents()) {
    const std::string task = fleet::FormatTaskName(event.task);
    const std::string run_fields =
        " run=" + std::to_string(event.run) + " runner=" + event.runner;
    // Long-running tasks have a limit of lines of their own, so that the lines
    // about batch tasks do not suppress theirs.
    const sched::job_state* job = scheduler.FindJob(event.task.job);
    const std::string_view component =
        job && job->long_running ? "longrun" : "sched";
    switch (event.kind) {
      case sched::event_kind::kTaskStarted:
        context.metrics.RecordTaskStart(event.elapsed_ms);
        context.log.Info(component,
                         "task started, task=" + task + run_fields +
                             " job_age_ms=" + std::to_string(event.elapsed_ms));
        break;
      case sched::event_kind::kTaskEnded:
        context.metrics.CountRunEnd(event.detail);
        context.log.Info(component, "task ended, task=" + task + run_fields +
                                        " how=" + event.detail + " took_ms=" +
                                        std::to_string(event.elapsed_ms));
        break;
      case sched::event_kind::kTaskAdopted:
        context.log.Info(component, "task adopted, task=" + task + run_fields);
        break;
      case sched::event_kind::kTaskLost:
        context.metrics.CountRunEnd("lost");
        context.log.Warning(component,
                            "run given up, task=" + task + run_fields +
                                " why=" + event.detail +
                                " age_ms=" + std::to_string(event.elapsed_ms));
        break;
      case sched::event_kind::kStopOrdered:
        context.log.Info(component, "stop ordered, task=" + task + run_fields +
                                        " why=" + event.detail);
        break;
      case sched::event_kind::kRunNotListed:
        context.metrics.CountRunNotListed(event.detail);
        context.log.Warning(
            component, "run holds room but is not listed, task=" + task +
                           run_fields + " awaits=" + event.detail +
                           " missing_ms=" + std::to_string(event.elapsed_ms));
        break;
      case sched::event_kind::kPlaceWaitStarted:
      case sched::event_kind::kPlaceWaitEnded:
        ReportPlaceWait(event);
        break;
      case sched::event_kind::kJobFinished:
        context.metrics.CountJobEnd(event.detail, event.elapsed_ms);
        CountJobOutcome(event);
        context.log.Info(
            "jobs", "job finished, job=" + event.task.job +
                        " queue=" + event.runner + " state=" + event.detail +
                        " age_ms=" + std::to_string(event.elapsed_ms));
        break;
      case sched::event_kind::kRecordRefused:
        context.metrics.CountRefusedRecord(event.detail);
        context.log.Warning("jobs",
                            "progress record refused, job=" + event.task.job +
                                " why=" + event.detail);
        break;
      case sched::event_kind::kTeamHeldBack:
        context.log.Info("shares", "team held back, pool=" + event.runner +
                                       " " + event.detail);
        break;
    }
  }
}

// Waits have a limit of lines of their own, so that they do not suppress the
// lines about starts and ends.
void leader::impl::ReportPlaceWait(const sched::scheduler_event& event) {
  const std::string step = event.task.job + "." +
                           std::to_string(event.task.repetition) + "." +
                           std::to_string(event.task.step);
  if (event.kind == sched::event_kind::kPlaceWaitStarted) {
    context.log.Info(
        "place", "tasks wait for their place, step=" + step +
                     " rack=" + event.runner +
                     " expected_in_ms=" + std::to_string(event.expected_ms) +
                     " at_most_ms=" + std::to_string(event.elapsed_ms));
    return;
  }
  context.metrics.CountPlaceWaits(event.near_tasks, event.away_tasks);
  context.log.Info(
      "place", "wait for the place ended, step=" + step +
                   " near=" + std::to_string(event.near_tasks) +
                   " elsewhere=" + std::to_string(event.away_tasks) +
                   " waited_ms=" + std::to_string(event.elapsed_ms) + " why=" +
                   (event.detail.empty() ? "place_free" : event.detail));
}

void leader::impl::CountJobOutcome(const sched::scheduler_event& event) {
  const sched::job_state* job = scheduler.FindJob(event.task.job);
  if (!job || job->long_running || job->phase == sched::job_phase::kCancelled) {
    return;
  }
  const bool failed = job->phase == sched::job_phase::kFailed;
  const bool within_objective = event.elapsed_ms <= job->ObjectiveMs();
  context.metrics.CountSubmissionOutcome(job->record.queue, job->record.team,
                                         failed             ? "failed"
                                         : within_objective ? "good"
                                                            : "late");
}

void leader::impl::OnLeaseRenewed(millis sent_at) {
  const millis lapsed_ms = lease.OrdersLapsedFor(context.now.Now());
  lease.RecordRenewal(sent_at);
  if (lapsed_ms >= 0 && MaySendOrders()) {
    context.log.InfoUnlimited(
        "leader",
        "orders permitted again, fence=" + std::to_string(fencing_token) +
            " lapsed_ms=" + std::to_string(lapsed_ms));
  }
  if (!jobs_skipped || !lease.IsExclusive(context.now.Now())) return;
  jobs_skipped = false;
  // WatchJobs replaces the watch for jobs. The call is deferred because a
  // callback of that watch may be the caller of this function.
  boost::asio::post(context.io, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->ended) return;
    self->LogRepeatedJobRead("skipped_without_lease");
    self->WatchJobs();
  });
}

void leader::impl::EndTerm(std::string_view reason) {
  if (ended) return;
  context.log.InfoUnlimited(
      "leader", "leadership lost, fence=" + std::to_string(fencing_token) +
                    " why=" + std::string(reason));
  Stop();
  on_lost();
}

void leader::impl::Stop() {
  ended = true;
  pass_timer.cancel();
  tick_timer.cancel();
  retry_timer.cancel();
  save_timer.cancel();
  runner_watch.reset();
  job_watch.reset();
  hosts.reset();
  links.clear();
}

leader::leader(node_context& context, const election& won,
               std::function<void()> on_lost)
    : impl_(std::make_shared<impl>(context, won, std::move(on_lost))) {
  host_controller_hooks hooks;
  hooks.runner_ended = [raw = impl_.get()](const std::string& runner) {
    raw->DropRunner(runner, "host moved or taken down");
  };
  hooks.hosts_listed = [raw = impl_.get()](const std::set<std::string>& runners,
                                           millis asked_at) {
    raw->DropReplacedRunners(runners, asked_at);
  };
  hooks.unregistered_runners = [raw = impl_.get()] {
    std::vector<std::string> runners;
    for (const auto& [id, since] : raw->unregistered_since)
      runners.push_back(id);
    return runners;
  };
  hooks.may_order_hosts = [raw = impl_.get()] {
    return raw->MaySendOrders() &&
           raw->lease.MayOrderHosts(raw->context.now.Now());
  };
  hooks.orders_loaded = [raw = impl_.get()] { raw->MaybeBecomeReady(); };
  impl_->hosts = std::make_unique<host_controller>(
      context, won, impl_->scheduler, std::move(hooks));
  impl_->StartTakeover();
  impl_->ScheduleTick();
}

leader::~leader() { impl_->Stop(); }

std::uint64_t leader::FencingToken() const { return impl_->fencing_token; }
bool leader::Ready() const { return impl_->ready; }
millis leader::TimeSinceElection() const {
  return impl_->context.now.Now() - impl_->load_started_at;
}

void leader::RecordLeaseRenewal(millis sent_at) {
  impl_->OnLeaseRenewed(sent_at);
}

void leader::ApplyConfig() {
  impl_->MaybeBecomeReady();
  if (impl_->ready) impl_->scheduler.SetConfig(*impl_->context.config);
  impl_->SchedulePass();
}

void leader::ApplyEvacuations() {
  impl_->scheduler.SetEvacuatedDataCentres(
      impl_->context.evacuated_data_centres);
  impl_->SchedulePass();
}

void leader::AddMaintenanceWave(const fleet::wave_request& wave) {
  if (impl_->hosts) impl_->hosts->AddWave(wave);
}

void leader::AddJob(std::string_view id, std::string_view record,
                    std::uint64_t revision) {
  // The job is already stored, so loading the jobs finds it.
  if (!impl_->jobs_loaded) return;
  store::store_item item;
  item.key = JobKey(id);
  item.value = std::string(record);
  item.revision = revision;
  impl_->ApplyJobEntry(item);
}

void leader::CancelJob(const std::string& id) {
  impl_->scheduler.CancelJob(id, impl_->context.now.Now());
  impl_->SchedulePass();
}

job_status leader::JobStatus(const std::string& id) const {
  const sched::job_state* job = impl_->scheduler.FindJob(id);
  if (!job) return {};
  // A final state other than kCancelled is reported only after it has been
  // stored.
  if (job->IsFinished() && job->persisted_version != job->progress_version) {
    return {true, job->phase == sched::job_phase::kCancelled
                      ? job->phase
                      : sched::job_phase::kRunning};
  }
  return {true, job->phase};
}

std::size_t leader::PendingCount(std::string_view queue) const {
  const millis now = impl_->context.now.Now();
  if (impl_->pending_counted_at < 0 ||
      now - impl_->pending_counted_at >= kPendingCountMaxAgeMs) {
    impl_->pending_counted_at = now;
    impl_->pending_counts = impl_->scheduler.PendingJobCounts();
  }
  const auto it = impl_->pending_counts.find(std::string(queue));
  return it == impl_->pending_counts.end() ? 0 : it->second;
}

void leader::SetGauges() { impl_->SetGauges(); }

millis leader::HostOrderAge() const {
  return impl_->hosts ? impl_->hosts->TimeSinceLastOrder() : 0;
}

void leader::HandOver(std::function<void()> done) {
  if (impl_->handing_over) return;
  impl_->handing_over = true;
  impl_->handover_started_at = impl_->context.now.Now();
  impl_->on_handover = std::move(done);
  impl_->SaveProgress();
}

}  // namespace radishwing::node
