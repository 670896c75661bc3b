#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/fleet/fleet_config.h"
#include "src/fleet/job_record.h"
#include "src/fleet/order_outcome.h"
#include "src/fleet/runner_listing.h"
#include "src/fleet/runner_report.h"
#include "src/sched/advice_request.h"
#include "src/sched/job_state.h"
#include "src/sched/order.h"
#include "src/sched/pool_demand.h"
#include "src/sched/run_time_model.h"
#include "src/sched/runner_state.h"
#include "src/sched/scheduler_event.h"
#include "src/sched/ticket_cache.h"

namespace radishwing::sched {

/// A write of a job's progress to the store.
struct pending_write {
  std::string job;
  std::uint64_t change = 0;           ///< Newest change that it includes.
  std::uint64_t record_revision = 0;  ///< Expected revision of the key.
  std::string text;
};

/// The end of a run, which may be acknowledged to its runner once `change` of
/// `job` is persisted.
struct recorded_end {
  std::uint64_t number = 0;
  std::string job;  ///< Empty if nothing has to be persisted.
  std::uint64_t change = 0;
};

/// Decides which task runs on which runner. Performs no I/O: takes events and
/// times and returns orders. All times are readings of one monotonic clock,
/// except `unix_now`.
///
/// Invariants, for any order of events: a task has at most one run that may
/// exist, unless its step allows speculative copies; all runs that may exist
/// respect the runners' capacity and the teams' caps; a step starts after all
/// steps it depends on.
class scheduler {
 public:
  /// `first_run` is the lowest run number that no earlier leader used.
  explicit scheduler(int first_run);

  void SetConfig(const fleet::fleet_config& config);

  /// Adds an accepted job. `restored` means that an earlier leader may have
  /// started it.
  void AddJob(fleet::job_record record, bool restored, millis now,
              millis unix_now);
  /// Restores the progress of a job from its record in the store.
  result<success> RestoreProgress(const std::string& id, std::string_view text,
                                  std::uint64_t revision, millis now);
  void CancelJob(const std::string& id, millis now);
  /// Returns the job, or null.
  const job_state* FindJob(const std::string& id) const;
  /// Returns the number of jobs of `queue` of which no task has started.
  std::size_t PendingCount(std::string_view queue) const;
  std::size_t JobCount() const { return jobs_.size(); }
  /// Drops the jobs that finished more than `keep_ms` ago, have no runs left
  /// and whose final state is persisted. Returns their ids.
  std::vector<std::string> DropFinishedJobs(millis now, millis keep_ms);

  void AddRunner(const fleet::runner_report& report);
  /// Adds a runner that may have runs of an earlier leader and has not listed
  /// them yet.
  void AddUnlistedRunner(const std::string& id, const std::string& pool,
                         const std::string& data_centre);
  void SetReachable(const std::string& id, bool reachable);
  void SetCordoned(const std::string& id, bool cordoned);
  /// Sets the runners that are in the record for the next leader. Other runners
  /// get no tasks.
  void SetRecordedRunners(std::set<std::string> runners) {
    recorded_runners_ = std::move(runners);
  }
  /// Removes a runner on which nothing runs or can start any more.
  void RemoveRunner(const std::string& id, millis now);
  /// Handles the restart of a runner: its runs have ended, but the new
  /// incarnation may still carry out unanswered starts.
  void RunnerRestarted(const std::string& id, millis now);
  const runner_state* FindRunner(const std::string& id) const;

  /// Applies a runner's listing, the response to a poll sent at `sent_at`.
  std::vector<recorded_end> ApplyListing(const std::string& id,
                                         const fleet::runner_listing& listing,
                                         millis sent_at, millis now);
  void ApplyOrderOutcome(const order& order, fleet::order_outcome outcome,
                         millis now);

  /// Sets the runners whose hosts are due for maintenance. Long-running tasks
  /// are placed elsewhere if possible.
  void SetMaintenanceDue(std::set<std::string> runners) {
    maintenance_due_ = std::move(runners);
  }
  int TaskCount(const std::string& runner) const;
  /// Returns the number of tasks on `runner` that never end by themselves.
  int LongRunningTaskCount(const std::string& runner) const;

  /// Returns the demand and capacity of each pool. The blocked demand is that
  /// of the tasks for which the most recent Plan() found no runner.
  std::map<std::string, pool_demand> Demand() const;

  /// Returns the number of start orders whose outcome is unknown.
  std::size_t CountUnansweredStarts() const;
  /// Runs a scheduling pass and returns the orders to send.
  std::vector<order> Plan(millis now, millis unix_now);
  /// Returns the queries to the advice service that the most recent pass needs,
  /// the most urgent first.
  std::vector<advice_request> TakeAdviceRequests();
  /// Applies the answer to a query that was sent at `sent_at`.
  void ApplyAdvice(const advice_request& request,
                   const std::vector<fleet::runner_ticket>& allowed,
                   millis sent_at);
  /// Orders the runs on `id` to stop: long-running ones as far as disruption
  /// budgets allow, others if `stop_batch` is set. Returns true if no run is
  /// left on it.
  bool Evacuate(const std::string& id, bool stop_batch, millis now);

  /// Returns at most `limit` writes of changed jobs, the oldest change first.
  /// Skips jobs with a write in flight, so the caller must report the result of
  /// each write.
  std::vector<pending_write> TakeWrites(std::size_t limit);
  /// Reports that the write of `job` failed or got no answer.
  void WriteFailed(const std::string& job);
  void WriteSucceeded(const std::string& job, std::uint64_t change,
                      std::uint64_t revision);
  /// Corrects the known revision of the progress key of `job`.
  void SetRecordRevision(const std::string& job, std::uint64_t revision);
  bool IsPersisted(const std::string& job, std::uint64_t change) const;

  /// Returns the events since the previous call, for logs and metrics.
  std::vector<scheduler_event> TakeEvents();

 private:
  struct task_ref {
    job_state* job = nullptr;
    repetition_state* repetition = nullptr;
    const fleet::task_step* step = nullptr;
    step_state* state = nullptr;
    task_state* task = nullptr;
  };
  /// Pool and data centre of a runner.
  struct runner_site {
    std::string pool;
    std::string data_centre;
    friend auto operator<=>(const runner_site&, const runner_site&) = default;
  };
  /// A placed run whose start order is deferred.
  struct deferred_run {
    fleet::task_name task;
    std::string runner;
    int run = 0;
  };
  struct candidate {
    job_state* job = nullptr;
    int urgency = 0;
    millis latest_start = 0;
  };

  task_ref FindTask(const fleet::task_name& name);
  void EnsureRepetition(const fleet::task_name& name);
  void ApplyEnd(const std::string& runner, const fleet::listed_end& end,
                millis now, std::vector<recorded_end>& out);
  void UpdateRunStatistics(const task_ref& ref, const fleet::listed_end& end,
                           const std::string& runner, millis now);
  void RecordTaskOutcome(const task_ref& ref, const fleet::listed_end& end);
  static void ApplyStopOutcome(run_state& run, fleet::order_outcome outcome,
                               millis now);
  void ApplyStartOutcome(const order& order, const task_ref& ref,
                         run_state& run, fleet::order_outcome outcome,
                         millis now);
  /// Delays further starts on a runner that refused one.
  void BackOffRunner(const std::string& id, millis now);
  void EndRun(task_ref& ref, const fleet::task_name& name,
              const fleet::listed_end& end, const std::string& runner,
              millis now);
  void FinishRepetition(task_ref& ref, millis now);
  void FinishJob(job_state& job, job_phase phase, millis now);
  void ApplyRunning(const std::string& runner, const fleet::listed_run& run,
                    millis now);
  void DropMissingRuns(const std::string& runner,
                       const fleet::runner_listing& listing, millis sent_at,
                       millis now);
  void DetachRun(const fleet::task_name& name, const task_ref& ref,
                 const std::string& runner, int run);
  void AttachRun(const fleet::task_name& name, const task_ref& ref,
                 run_state run);
  static std::vector<run_state>::iterator FindRun(task_state& task,
                                                  const std::string& runner,
                                                  int run);
  /// Detaches a run that ended without a listed end, and emits an event.
  void AbandonRun(const fleet::task_name& name, const task_ref& ref,
                  const run_state& run, std::string_view why, millis now);
  void UpdateUsage(const task_ref& ref, runner_state& runner, int sign);

  /// Marks the job's progress as changed and queues a write.
  void MarkChanged(job_state& job);
  void QueueWrite(job_state& job);
  static void UpdateCriticalPath(job_state& job);
  void IndexPools();
  void ReleaseFinishedJob(job_state& job);
  void UpdateUnlistedUsage();
  void CreateRepetitions(job_state& job, millis unix_now);
  static std::string StepName(const job_state& job, int repetition,
                              int step_number);
  void NoRunnerFound(const job_state& job, const fleet::task_step& step,
                     const std::string& step_name, millis now);
  void RequestAdvice(const job_state& job, const fleet::task_step& step,
                     const std::string& step_name, millis now);
  static bool StartRecorded(const job_state& job);
  /// Issues the start orders of placed runs, or defers them until the job's
  /// record is persisted.
  void DispatchStarts(job_state& job, const std::vector<order>& starts,
                      millis now, std::vector<order>& out);
  void IssueStart(const task_ref& ref, run_state& run, const order& start,
                  millis now, std::vector<order>& out);
  static std::vector<deferred_run> DeferredRuns(job_state& job);
  void DropDeferredRuns(job_state& job);
  /// Issues the deferred starts of jobs whose records were persisted since the
  /// previous pass.
  void IssueDeferredStarts(millis now, std::vector<order>& out);
  void PlanRetries(millis now, std::vector<order>& out);
  void PlanStuckStops(millis now);
  void PlanPace(millis now, std::vector<order>& out);
  void PlanStarts(millis now, std::vector<order>& out);
  void StartTasksOf(job_state& job, millis now, std::vector<order>& out);
  void StartStep(job_state& job, int repetition_number,
                 repetition_state& repetition, int step_number, millis now,
                 std::vector<order>& out);
  void StartGang(job_state& job, int repetition_number,
                 repetition_state& repetition, int step_number, millis now,
                 std::vector<order>& out);
  candidate RankJob(job_state& job, millis now) const;
  runner_state* ChooseRunner(const job_state& job, const fleet::task_step& step,
                             const step_state& state, int repetition,
                             int step_number, const task_state& task,
                             millis now);
  bool IsSchedulable(const runner_state& runner, millis now) const;
  bool CanPlaceStep(const runner_state& runner, const fleet::task_step& step,
                    millis now) const;
  bool NeedsCopy(const job_state& job, const fleet::task_step& step,
                 const task_state& task, millis now) const;
  /// Adds the tasks of a step without a runner to the pool's blocked demand.
  void AddBlockedDemand(const job_state& job, const fleet::task_step& step,
                        const step_state& state);
  bool WithinCap(const job_state& job, const fleet::resources& needs) const;
  /// Returns true if a runner that may have runs of the job has not listed its
  /// runs.
  bool MayHaveUnlistedRuns(const job_state& job) const;
  void RequestStop(const fleet::task_name& name, run_state& run,
                   std::string_view reason, millis now);
  /// Returns the start order for a placed run.
  order MakeStartOrder(const fleet::task_name& name, const task_ref& ref,
                       const std::string& runner, int run, millis now) const;
  /// Places a run and adds its start order to `starts`.
  void Place(const fleet::task_name& name, const task_ref& ref,
             runner_state& runner, int run, millis now,
             std::vector<order>& starts);
  bool IsAvailable(const task_state& task) const;
  /// Returns the number of other tasks of the step that are not known to be
  /// available.
  int CountUnavailablePeers(const step_state& state,
                            const task_state& task) const;
  fleet::resources RunnerNeeds(const fleet::task_step& step) const;
  const fleet::task_step* FindStep(const fleet::task_name& name) const;
  bool HasTaskOfKind(const runner_state& runner, bool latency_sensitive) const;

  int next_run_base_;
  fleet::fleet_config config_;
  run_time_model run_times_;
  std::unordered_map<std::string, std::unique_ptr<job_state>> jobs_;
  std::vector<job_state*> active_;       ///< Unfinished as of the last pass.
  std::set<std::string> early_cancels_;  ///< Of jobs not yet known.
  /// Jobs with progress to persist, the oldest change first. Contains each job
  /// at most once, and none whose write is in flight.
  std::deque<std::string> write_queue_;
  std::map<std::string, runner_state> runners_;
  std::map<std::string, std::vector<runner_state*>> pools_;
  bool pools_stale_ = true;
  /// For each pool, the most recent needs for which this pass found no runner.
  std::map<std::string, fleet::resources> unplaceable_needs_;
  millis last_housekeeping_at_ = 0;
  std::set<std::string> recorded_runners_;
  std::set<std::string> maintenance_due_;
  std::map<std::string, pool_demand> blocked_demand_;  ///< Of the last pass.
  /// Runners that may have runs of an earlier leader and have not listed them.
  std::map<std::string, runner_site> unlisted_runners_;
  std::set<runner_site> unlisted_sites_;  ///< Of these, in this pass.
  std::map<std::string, fleet::resources> team_usage_;
  /// By team, the resources that unlisted runs of an earlier leader may use.
  std::map<std::string, fleet::resources> unlisted_usage_;
  std::vector<order> queued_orders_;
  ticket_cache tickets_;
  std::vector<advice_request> advice_requests_;
  std::vector<std::string> newly_recorded_jobs_;  ///< Since the last pass.
  /// The most recent progress write succeeded, so new jobs can be recorded.
  bool store_writable_ = true;
  std::vector<scheduler_event> events_;
};

}  // namespace radishwing::sched
