#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
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
#include "src/sched/advice_budget.h"
#include "src/sched/advice_request.h"
#include "src/sched/early_cancels.h"
#include "src/sched/job_state.h"
#include "src/sched/order.h"
#include "src/sched/pending_write.h"
#include "src/sched/place_book.h"
#include "src/sched/pool_demand.h"
#include "src/sched/recorded_end.h"
#include "src/sched/run_time_model.h"
#include "src/sched/runner_holds.h"
#include "src/sched/runner_state.h"
#include "src/sched/scheduler_event.h"
#include "src/sched/share_report.h"
#include "src/sched/start_queue.h"
#include "src/sched/team_shares.h"
#include "src/sched/ticket_cache.h"
#include "src/sched/write_failure.h"

namespace radishwing::sched {

/// Decides which task runs on which runner. It performs no I/O: its inputs are
/// events and times, its outputs are orders. All times are readings of one
/// monotonic clock, except `unix_now`.
///
/// Invariants, for any order of events: a task has at most one run that may
/// exist, unless its step allows speculative copies; all runs that may exist
/// respect the runners' capacity and the teams' resource limits; a step starts
/// after the end of all steps that it depends on.
class scheduler {
 public:
  /// Size of the range of run numbers that each term has. A job that needs
  /// higher ones has a limit in its progress record.
  static constexpr int kRunsPerTerm = 64;

  /// Returns the lowest run number of a term; the first term is 1.
  static constexpr int FirstRun(int term) {
    return (term - 1) * kRunsPerTerm + 1;
  }

  /// New runs get the numbers from `min_run` on, the first one of the term.
  explicit scheduler(int min_run);

  void SetConfig(const fleet::fleet_config& config);

  /// Sets the time within which runners end a run that they were ordered to
  /// stop, on their clocks.
  void SetMaxStopDuration(millis duration) { max_stop_ms_ = duration; }
  /// Sets the length of the longest progress record that the store accepts, in
  /// bytes. Also limits how many repetitions of a job are worked on at once.
  void SetMaxRecordBytes(std::size_t bytes) { max_record_bytes_ = bytes; }
  /// Returns what is known about places, to set how waits are decided.
  place_book& Places() { return places_; }
  /// Adds an accepted job. `restored` is true if an earlier leader may have
  /// started it; RestoreProgress has to follow.
  void AddJob(fleet::job_record record, bool restored, millis now,
              millis unix_now);
  /// Restores the progress of a job from the text of its progress record in the
  /// store. `revision` is the store revision of that record.
  result<success> RestoreProgress(const std::string& id, std::string_view text,
                                  std::uint64_t revision, millis now);
  /// Cancels a job. If the job is not known yet, the scheduler cancels it as
  /// soon as AddJob adds it. `revision` is the revision of the key of the
  /// cancel request, or 0 if it is not known.
  void CancelJob(const std::string& id, millis now, std::uint64_t revision = 0);
  /// Returns the cancel requests whose jobs are not known.
  early_cancels& EarlyCancels() { return early_cancels_; }
  /// Returns the job with the given id, or null if it is not known.
  const job_state* FindJob(const std::string& id) const;
  /// Returns the number of jobs of which no task has started, by queue. Queues
  /// without such a job are missing.
  std::map<std::string, std::size_t> PendingJobCounts() const;
  std::size_t JobCount() const { return jobs_.size(); }
  /// Returns the ids of at most `limit` jobs that finished more than
  /// `retention_ms` ago, have no runs left and whose final state is persisted.
  std::vector<std::string> ExpiredJobs(millis now, millis retention_ms,
                                       std::size_t limit) const;
  /// Drops a job. A job whose key is still in the store must not be dropped:
  /// the key may be read again, and the job would then be taken for a new one.
  void DropJob(const std::string& id);

  /// Adds a runner, or updates the registration of a known one.
  void AddRunner(const fleet::runner_report& report);
  /// Adds a runner that has not listed its runs to this leader yet. An earlier
  /// leader may have started runs on the runner.
  void AddUnlistedRunner(const std::string& id, const std::string& pool,
                         const std::string& data_centre);
  /// Sets whether the runner answered the most recent poll.
  void SetReachable(const std::string& id, bool reachable);
  /// Sets the names of the data centres whose runners get no new tasks. What
  /// runs there goes on.
  void SetEvacuatedDataCentres(std::set<std::string> data_centres) {
    evacuated_data_centres_ = std::move(data_centres);
  }
  /// Sets which runners get no new tasks, in place of all that was set before.
  /// Also holds for runners that are added later.
  void SetRunnerHolds(runner_holds holds);
  /// Sets the ids of the runners that are certainly in the runner set in the
  /// store. Other runners get no tasks, because the next leader polls only the
  /// runners in that set.
  void SetRecordedRunners(std::set<std::string> runners);
  /// Removes a runner on which nothing runs or can start any more.
  void RemoveRunner(const std::string& id, millis now);
  /// Resets the state of a runner that has restarted and drops its runs. A
  /// listing that was requested at `sent_at` has shown the restart. If the new
  /// incarnation may have a run, or may still carry out its start order, the
  /// scheduler queues a stop order for that run instead of dropping it.
  void ResetRestartedRunner(const std::string& id, millis sent_at, millis now);
  /// Returns the runner with the given id, or null if it is not known.
  const runner_state* FindRunner(const std::string& id) const;

  /// Applies a runner's listing, the response to a poll sent at `sent_at`.
  /// Returns the listed ends that are new, for acknowledgement.
  std::vector<recorded_end> ApplyListing(const std::string& id,
                                         const fleet::runner_listing& listing,
                                         millis sent_at, millis now);
  /// Applies the outcome of an order that Plan() returned.
  void ApplyOrderOutcome(const order& order, fleet::order_outcome outcome,
                         millis now);

  /// Sets the ids of the runners whose hosts are due for maintenance. The
  /// scheduler places long-running tasks on other runners if possible.
  void SetMaintenanceDue(std::set<std::string> runners) {
    maintenance_due_ = std::move(runners);
  }
  /// Returns the number of tasks with a run on `runner`.
  int TaskCount(const std::string& runner) const;
  /// Returns the number of tasks on `runner` that never end by themselves.
  int LongRunningTaskCount(const std::string& runner) const;

  /// Returns the demand and capacity of each pool. Tasks count as blocked if
  /// the most recent Plan() found no runner for them.
  std::map<std::string, pool_demand> DemandByPool(millis now) const;
  /// Keeps new tasks off these runners until `until`, so that they become empty
  /// and their hosts can move. Replaces the runners of the previous call.
  void SetLeaving(std::set<std::string> runners, millis until) {
    leaving_runners_ = std::move(runners);
    leaving_until_ = until;
  }
  /// Returns the expected time until the last task on the runner ends; the
  /// highest value if one of them is long-running.
  millis BusyMs(const std::string& runner, millis now);

  /// Returns the number of start orders whose outcome is unknown.
  std::size_t CountUnansweredStarts() const;
  /// Performs a scheduling pass and returns the orders to send.
  std::vector<order> Plan(millis now, millis unix_now);
  /// Limits the number of tasks that the next passes start.
  void SetStartAllowance(int allowance) { start_allowance_ = allowance; }
  /// Returns the part of the limit that is left; below 0 if the last gang
  /// exceeded it.
  int StartAllowance() const { return start_allowance_; }
  /// Returns the queries to the advice service that the most recent Plan()
  /// needs, the most urgent first, and clears them.
  std::vector<advice_request> TakeAdviceRequests();
  /// Applies the advice service's answer to `request`, which was sent at
  /// `sent_at`: `allowed` has the tickets of the runners that may run the step;
  /// the service denied the other runners in `request`. Returns the time for
  /// which the tickets are used.
  millis ApplyAdvice(const advice_request& request,
                     const std::vector<fleet::runner_ticket>& allowed,
                     millis sent_at, millis now);
  /// Reports that `request` failed after `waited`.
  void ReportAdviceFailure(const advice_request& request, millis waited);
  /// Queues stop orders for the runs on runner `id`: for long-running tasks as
  /// far as disruption budgets allow, for other tasks if `stop_batch_tasks` is
  /// true. Returns true if no run is left on the runner.
  bool Evacuate(const std::string& id, bool stop_batch_tasks, millis now);

  /// Returns writes of changed jobs, the oldest change first: at most `limit`,
  /// which take at most `max_entries` entries of a commit.
  /// Skips jobs with a write in flight, so the caller must report the result of
  /// each write. Jobs for which only tasks have ended wait for further ends
  /// until `deferral` after a call has first passed over them.
  std::vector<pending_write> TakeWrites(
      std::size_t limit, millis now = 0, millis deferral = 0,
      std::size_t max_entries = std::numeric_limits<std::size_t>::max());
  /// Reports that the write of `job` failed or got no answer, so that the
  /// scheduler queues it again. A write that the store refuses for good holds
  /// up only its own job.
  void ReportWriteFailure(const std::string& job,
                          write_failure kind = write_failure::kUnavailable,
                          millis now = 0);
  /// Reports the success of a write: the store has this version of the progress
  /// of `job`, and `revision` is the new store revision of the progress record.
  void ReportWriteSuccess(const std::string& job, std::uint64_t version,
                          std::uint64_t revision);
  /// Takes over the progress record of `job` that made the store reject a
  /// write; `text` is its text, `revision` its store revision. A record that
  /// was written from this state of the job is older than the state. Any other
  /// record is merged into the state: what either has as done, failed or
  /// finished counts. Returns true if the record was merged.
  bool MergeProgress(const std::string& job, std::string_view text,
                     std::uint64_t revision, millis now);
  /// Records that the store has no progress record of `job`.
  void ClearRecordRevision(const std::string& job);
  /// Returns true if the store has this version of the progress of `job` or a
  /// later one, or if the job is not known.
  bool IsPersisted(const std::string& job, std::uint64_t version) const;

  /// Returns the teams' shares of the pools, at most a second old.
  const std::vector<share_report>& TeamShares() const { return share_reports_; }
  /// Returns the events since the previous call, for logs and metrics.
  std::vector<scheduler_event> TakeEvents();

 private:
  friend class place_starter;
  /// A task with its job, repetition and step. If one of these does not exist,
  /// its pointer and all later pointers are null.
  struct task_ref {
    job_state* job = nullptr;
    repetition_state* repetition = nullptr;
    const fleet::task_step* step = nullptr;  ///< Definition of the step.
    step_state* state = nullptr;             ///< Progress of the step.
    task_state* task = nullptr;
  };
  /// Pool and data centre of a runner.
  struct runner_site {
    std::string pool;
    std::string data_centre;
    friend auto operator<=>(const runner_site&, const runner_site&) = default;
  };
  /// Identifies a run.
  struct run_name {
    fleet::task_name task;
    std::string runner;  ///< Id of the runner.
    int run = 0;         ///< Number of the run.
  };
  task_ref FindTask(const fleet::task_name& name);
  /// Creates the missing repetitions of a job up to the repetition of the task
  /// `name`. Called for each task of which a runner lists a run or an end.
  void EnsureRepetition(const fleet::task_name& name);
  /// Applies the end of a run that `runner` listed and adds it to `out`, for
  /// acknowledgement.
  void ApplyListedEnd(const std::string& runner, const fleet::listed_end& end,
                      millis now, std::vector<recorded_end>& out);
  void UpdateRunStatistics(const task_ref& ref, const fleet::listed_end& end,
                           const std::string& runner, millis now);
  void RecordTaskOutcome(const task_ref& ref, const fleet::listed_end& end);
  static void ApplyStopOutcome(run_state& run, fleet::order_outcome outcome,
                               millis now);
  void ApplyStartOutcome(const order& order, const task_ref& ref,
                         run_state& run, fleet::order_outcome outcome,
                         millis now);
  /// Delays further start orders to a runner that did not accept one.
  void BackOffRunner(const std::string& id, millis now);
  /// Applies a listed end to its run, task and job.
  void EndRun(task_ref& ref, const fleet::task_name& name,
              const fleet::listed_end& end, const std::string& runner,
              millis now);
  void FinishRepetitionIfDone(task_ref& ref, millis now);
  /// Sets the final phase of a job and stops its runs.
  void FinishJob(job_state& job, job_phase phase, millis now);
  void ApplyListedRun(const std::string& runner, const fleet::listed_run& run,
                      millis runner_clock_ms, millis now);
  /// Drops the runs that the scheduler has on a runner but that the runner's
  /// listing does not include any more. `sent_at` is the send time of the poll
  /// that the listing answers.
  void DropMissingRuns(const std::string& runner,
                       const fleet::runner_listing& listing, millis sent_at,
                       millis now);
  /// Records whether the listing of its runner has a run. Emits an event if the
  /// run has been missing for long.
  void NoteListed(const fleet::task_name& name, run_state& run, bool listed,
                  millis now);
  /// Removes a run from its task and frees its resources.
  void DetachRun(const fleet::task_name& name, const task_ref& ref,
                 const std::string& runner, int run);
  /// Adds a run to its task and reserves its resources.
  void AttachRun(const fleet::task_name& name, const task_ref& ref,
                 run_state run);
  static std::vector<run_state>::iterator FindRun(task_state& task,
                                                  const std::string& runner,
                                                  int run);
  /// Removes a run from its task, frees the run's resources and emits an event.
  /// Called for a run that did not start and for a lost run. A run is lost if
  /// no runner listed its end, but the runner of the run does not list the run
  /// any more, restarted or was removed.
  void AbandonRun(const fleet::task_name& name, const task_ref& ref,
                  const run_state& run, std::string_view why, millis now);
  /// Adds the needs of a task to the use of its runner and team, or subtracts
  /// them if `sign` is negative.
  void UpdateUsage(const task_ref& ref, runner_state& runner, int sign);

  /// Increments the version of the job's progress and queues a write.
  void MarkChanged(job_state& job);
  /// As MarkChanged, for a change whose write may wait for further ones.
  void MarkChangedByEnd(job_state& job);
  /// Delays the next write of a job that the store refuses. The job's deferred
  /// starts are dropped, as they wait for that write.
  void HoldWrite(job_state& job, millis now);
  /// Returns true if the store does not accept writes, as far as is known.
  bool IsStoreBlocked(millis now) const;
  /// Queues a write of the job's progress, unless one is queued or in flight.
  void QueueWrite(job_state& job);
  static void UpdateCriticalPath(job_state& job);
  /// Rebuilds `pools_` if a runner was added or removed, and
  /// `schedulable_runners_`.
  void IndexRunners(millis now);
  /// Merges the repetitions of `stored`, a decoded progress record, into `job`.
  void MergeRepetitions(job_state& job, const job_state& stored, millis now);
  void MergeRepetition(const std::string& id, int number,
                       const repetition_state& from,
                       repetition_state& repetition, millis now);
  void MergeTask(const fleet::task_name& name, const task_state& stored,
                 step_state& step, millis now);
  /// Finishes the job if its merged tasks are all done, or if one of them has
  /// no attempts left.
  void FinishMergedJob(job_state& job, millis now);
  /// Cancels the job if it was cancelled before it was accepted, or if its
  /// cancel request arrived before it.
  void ApplyEarlyCancel(job_state& job, millis now);
  /// Frees the steps and repetitions of a finished job that has no runs left.
  void ReleaseFinishedJob(job_state& job);
  /// Recomputes the resources that unlisted runs of an earlier leader may use
  /// (`unlisted_usage_`).
  void UpdateUnlistedUsage();
  /// Creates the repetitions whose due time has come.
  void CreateRepetitions(job_state& job, millis unix_now);
  /// Returns the name of a step for the advice service, "JOB.REPETITION.STEP".
  static std::string StepName(const job_state& job, int repetition,
                              int step_number);
  /// Records that this pass found no runner for a task of the step, or queues
  /// a query to the advice service if the job's tasks need tickets.
  void RecordPlacementFailure(const job_state& job,
                              const fleet::task_step& step,
                              const std::string& step_name, millis now);
  /// Queues a query to the advice service about which runners may run the step.
  void RequestAdvice(const job_state& job, const fleet::task_step& step,
                     const std::string& step_name, millis now);
  /// Returns the number of the task's next run. No earlier run of the task has
  /// the number or a higher one.
  int NextRun(const job_state& job, const task_state& task) const;
  /// Returns true if the store has a progress record of the job and the record
  /// names all data centres of the job's runs and permits their numbers.
  static bool RecordCoversStarts(const job_state& job);
  /// Issues the start orders of placed runs, or defers them until the job's
  /// progress record in the store names the data centres of the runs.
  void DispatchStarts(job_state& job, const std::vector<order>& starts,
                      millis now, std::vector<order>& out);
  /// Adds the start order of a placed run to `out` and emits an event.
  void IssueStart(const task_ref& ref, run_state& run, const order& start,
                  millis now, std::vector<order>& out);
  /// Returns the runs of a job for which `include` returns true.
  static std::vector<run_name> ListRuns(
      const job_state& job,
      const std::function<bool(const run_state&)>& include);
  /// Returns the runs of a job whose start order is deferred.
  static std::vector<run_name> ListDeferredRuns(const job_state& job);
  /// Cancels the placement of the job's runs whose start order is deferred.
  void DropDeferredRuns(job_state& job);
  /// Issues the deferred start orders of jobs whose progress record was written
  /// since the previous pass.
  void IssueDeferredStarts(millis now, std::vector<order>& out);
  /// Repeats unconfirmed start and stop orders, and queues stop orders for runs
  /// without progress.
  void CheckRuns(millis now, std::vector<order>& out);
  /// Repeats the start or stop order of a run if it is unconfirmed and due.
  void RetryOrder(const fleet::task_name& name, const task_ref& ref,
                  run_state& run, const runner_state& runner, millis now,
                  std::vector<order>& out);
  /// Queues a stop order for a run without progress.
  void StopIfStuck(const fleet::task_name& name, const task_ref& ref,
                   run_state& run, runner_state& runner, millis now);
  /// Slows best-effort tasks down while a latency-sensitive task on the same
  /// runner is near its target.
  void PlanPace(std::vector<order>& out);
  /// Returns the pools in which work that can still be in time has found no
  /// room for some time, according to the previous pass.
  std::set<std::string> FindShortPools(millis now);
  /// Starts tasks of ready steps, in the order of a start_queue.
  void PlanStarts(millis now, std::vector<order>& out);
  /// Starts tasks of the jobs in `queue`, and records what work finds no room.
  void StartInOrder(start_queue& queue, millis now, std::vector<order>& out);
  /// Keeps runners of the pools where work that can still be in time waits for
  /// room from late work, for the rest of the pass.
  void KeepRoomForTimelyWork();
  /// Emits an event for each team that its share holds back, at most once a
  /// second.
  void ReportShares(millis now);
  void StartTasksOf(job_state& job, millis now, std::vector<order>& out);
  void StartStep(job_state& job, int repetition_number,
                 repetition_state& repetition, int step_number, millis now,
                 std::vector<order>& out);
  void StartGang(job_state& job, int repetition_number,
                 repetition_state& repetition, int step_number, millis now,
                 std::vector<order>& out);
  /// Places all members of the gang with the given run number, on `rack` unless
  /// it is empty, or none. Returns their start orders.
  std::vector<order> PlaceGang(job_state& job, int repetition_number,
                               step_state& state, int step_number, int run,
                               const std::string& rack, millis now);
  /// Cancels the placement of gang members by `placed`.
  void UndoGang(const std::vector<order>& placed);
  /// Returns the best runner for a new run of `task`, or null if none is
  /// suitable. Only runners on `rack` are suitable unless it is empty.
  runner_state* ChooseRunner(const job_state& job, const fleet::task_step& step,
                             const step_state& state, int repetition,
                             int step_number, const task_state& task,
                             millis now, const std::string& rack = {});
  /// Returns ChooseRunner(). If no runner is suitable, counts the step's tasks
  /// as blocked and asks others to leave room at its place.
  runner_state* ChooseRunnerOrBlock(const job_state& job,
                                    const fleet::task_step& step,
                                    const step_state& state, int repetition,
                                    int step_number, const task_state& task,
                                    millis now);
  /// Returns the number of tasks of a step with a run on the runner.
  static int CountStepTasks(const runner_state& runner, const std::string& job,
                            int repetition, int step_number);
  /// Returns the expected run time of a task of the step on `rack`.
  double ExpectedRunMs(const job_state& job, const fleet::task_step& step,
                       const std::string& rack) const;
  /// Returns true if this pass has found no runner for the same or fewer needs.
  bool IsUnplaceable(const job_state& job, const fleet::task_step& step) const;
  /// Returns true if the operator evacuates the runner's data centre.
  bool IsEvacuated(const runner_state& runner) const {
    return evacuated_data_centres_.contains(runner.report.data_centre);
  }
  /// Returns true if the runner accepts new tasks.
  bool IsSchedulable(const runner_state& runner, millis now) const;
  /// Returns true if the runner has the label and the free capacity that a task
  /// of the step needs.
  bool CanPlaceStep(const runner_state& runner,
                    const fleet::task_step& step) const;
  /// Returns true if the task may get a run now: its first one, or a copy.
  bool MayStartRun(const job_state& job, const fleet::task_step& step,
                   const task_state& task, millis now) const;
  /// Returns true if a task that has a run should get a speculative copy.
  bool NeedsCopy(const job_state& job, const fleet::task_step& step,
                 const task_state& task, millis now) const;
  /// Adds the step's tasks without a run to the blocked demand of the job's
  /// pool.
  void AddBlockedDemand(const job_state& job, const fleet::task_step& step,
                        const step_state& state, millis now);
  /// Adds the work of a new job to the arrivals of its pool.
  void CountArrival(const job_state& job);
  bool IsLeaving(const std::string& runner, millis now) const {
    return now < leaving_until_ && leaving_runners_.contains(runner);
  }
  /// Returns true if a task with the given needs would not exceed the resource
  /// limit of the job's team.
  bool IsWithinTeamLimit(const job_state& job,
                         const fleet::resources& needs) const;
  /// Returns true if the job may have runs on a runner whose first listing to
  /// this leader has not arrived.
  bool MayHaveUnlistedRuns(const job_state& job) const;
  /// Ends the runs of a task for which `include` returns true: drops those
  /// whose start was never sent, and stops the others.
  void StopRuns(const fleet::task_name& name,
                const std::function<bool(const run_state&)>& include,
                std::string_view reason, millis now);
  /// Queues a stop order for a run, unless it is stopping already. Requires
  /// that a start order for the run may have been sent.
  void RequestStop(const fleet::task_name& name, run_state& run,
                   std::string_view reason, millis now);
  /// Returns the start order for a placed run.
  order MakeStartOrder(const fleet::task_name& name, const task_ref& ref,
                       const std::string& runner, int run, millis now) const;
  /// Places a run and adds its start order to `starts`.
  void PlaceRun(const fleet::task_name& name, const task_ref& ref,
                runner_state& runner, int run, millis now,
                std::vector<order>& starts);
  /// Returns true if a run of a long-running task has reported 100 percent and
  /// its runner is reachable.
  bool IsAvailable(const task_state& task) const;
  /// Returns the number of the step's tasks, except `task`, that are not known
  /// to be available.
  int CountUnavailablePeers(const step_state& state,
                            const task_state& task) const;
  /// Returns the needs of a task that count against its runner's capacity.
  fleet::resources ReservedResources(const fleet::task_step& step) const;
  /// Returns the step of a task, or null.
  const fleet::task_step* FindStep(const fleet::task_name& name) const;
  /// Returns true if the runner has a latency-sensitive task, or a best-effort
  /// task if `latency_sensitive` is false.
  bool HasTaskOfKind(const runner_state& runner, bool latency_sensitive) const;

  /// Number of tasks that may still be started, see SetStartAllowance().
  int start_allowance_ = std::numeric_limits<int>::max();
  int min_run_;                   ///< Lowest number of a new run.
  std::uint64_t added_jobs_ = 0;  ///< Number of calls of AddJob so far.
  millis max_stop_ms_ = 1000;     ///< See SetMaxStopDuration().
  std::size_t max_record_bytes_ = 1u << 20;  ///< See SetMaxRecordBytes().
  fleet::fleet_config config_;  ///< Configuration of queues, pools and teams.
  run_time_model run_times_;    ///< Ratios of actual to estimated run times.
  place_book places_;           ///< What is known about places of tasks.
  /// Jobs by id.
  std::unordered_map<std::string, std::unique_ptr<job_state>> jobs_;
  /// Jobs that were not finished at the start of the last pass, and jobs added
  /// since.
  std::vector<job_state*> active_jobs_;
  early_cancels early_cancels_;
  /// Ids of jobs with progress to persist, the oldest change first. Contains
  /// each job at most once, and no job that has a write in flight.
  std::deque<std::string> write_queue_;
  std::map<std::string, runner_state> runners_;  ///< By runner id.
  /// Runners by pool name; stale until IndexPools() if `pools_stale_` is true.
  std::map<std::string, std::vector<runner_state*>> pools_;
  bool pools_stale_ = true;  ///< True if `pools_` has to be rebuilt.
  /// By pool name, the runners that accept new tasks in this pass.
  std::map<std::string, std::vector<runner_state*>> schedulable_runners_;
  /// By pool name, the most recent task needs for which this pass found no
  /// runner.
  std::map<std::string, fleet::resources> unplaceable_needs_;
  /// Time of the last check for retries, stuck tasks, paces and due
  /// repetitions.
  millis last_housekeeping_at_ = 0;
  /// Ids of the runners that are certainly in the runner set in the store.
  std::set<std::string> recorded_runners_;
  /// See SetEvacuatedDataCentres().
  std::set<std::string> evacuated_data_centres_;
  runner_holds runner_holds_;  ///< See SetRunnerHolds().
  /// Ids of the runners whose hosts are due for maintenance.
  std::set<std::string> maintenance_due_;
  /// By pool name, the demand of tasks for which the last pass found no runner.
  std::map<std::string, pool_demand> blocked_demand_;
  /// By pool name, the time since which timely work has found no room.
  std::map<std::string, millis> short_since_;
  /// By pool name, see pool_demand::arrived_core_ms.
  std::map<std::string, double> arrived_core_ms_;
  std::set<std::string> leaving_runners_;  ///< See SetLeaving().
  millis leaving_until_ = 0;               ///< See SetLeaving().
  /// By id, the runners whose first listing to this leader has not arrived and
  /// on which an earlier leader may have started runs.
  std::map<std::string, runner_site> unlisted_runners_;
  /// Pools and data centres of `unlisted_runners_` at the start of the pass.
  std::set<runner_site> unlisted_sites_;
  /// By team name, the sum of the resource needs of the team's runs.
  std::map<std::string, fleet::resources> team_usage_;
  /// By team name, the resources that unlisted runs of an earlier leader may
  /// use.
  std::map<std::string, fleet::resources> unlisted_usage_;
  std::vector<order> queued_orders_;  ///< Orders for the next pass to return.
  ticket_cache tickets_;              ///< Answers of the advice service.
  /// Response times of the advice service, by queue name.
  std::map<std::string, advice_budget> advice_budgets_;
  /// Queries to the advice service from the last pass that were not taken yet.
  std::vector<advice_request> advice_requests_;
  /// Ids of jobs whose progress record was written since the last pass.
  std::vector<std::string> newly_recorded_jobs_;
  /// False if the store did not answer the most recent write of a progress
  /// record. See IsStoreBlocked().
  bool store_writable_ = true;
  int writes_in_flight_ = 0;  ///< Number of writes without an outcome.
  std::vector<scheduler_event> events_;  ///< Events not taken yet.
  team_shares shares_;                   ///< What each team uses of each pool.
  std::vector<share_report> share_reports_;  ///< See TeamShares().
  millis shares_reported_at_ = 0;            ///< Time of `share_reports_`.
};

}  // namespace radishwing::sched
