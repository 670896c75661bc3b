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
#include "src/sched/ticket_book.h"

namespace radishwing::sched {

/// Progress of a job that has to be written to the store.
struct pending_write {
  std::string job;
  std::uint64_t change = 0;           ///< The job's change that it contains.
  std::uint64_t record_revision = 0;  ///< Expected revision of the key.
  std::string text;
};

/// An end that may be acknowledged once `change` of `job` is kept.
struct recorded_end {
  std::uint64_t number = 0;
  std::string job;  ///< Empty if nothing has to be kept.
  std::uint64_t change = 0;
};

/// Decides which task runs where. Pure: events and times in, orders out. All
/// times are those of one monotonic clock but for `unix_now`.
///
/// Promises, whatever the order of events: a task has at most one run that
/// may be there; a runner's capacity and a team's cap hold for all runs that
/// may be there; a step starts after the steps it waits for.
class scheduler {
 public:
  /// `first_run` is the lowest run number that no earlier leader has used.
  explicit scheduler(int first_run);

  void SetConfig(const fleet::fleet_config& config);

  /// Adds an accepted job. `restored`: an earlier leader may have started it.
  void AddJob(fleet::job_record record, bool restored, millis now,
              millis unix_now);
  /// Restores what the store has of a job's progress.
  result<done> RestoreProgress(const std::string& id, std::string_view text,
                               std::uint64_t revision, millis now);
  void CancelJob(const std::string& id, millis now);
  /// The job, or null.
  const job_state* FindJob(const std::string& id) const;
  /// Jobs of `queue` of which no task has started.
  std::size_t PendingCount(std::string_view queue) const;
  std::size_t JobCount() const { return jobs_.size(); }
  /// Drops finished jobs older than `keep_ms`; returns their ids.
  std::vector<std::string> DropOld(millis now, millis keep_ms);

  void AddRunner(const fleet::runner_report& report);
  /// A runner that may hold runs of an earlier leader.
  void ExpectRunner(const std::string& id, const std::string& pool,
                    const std::string& data_centre);
  void SetReachable(const std::string& id, bool reachable);
  void SetCordoned(const std::string& id, bool cordoned);
  /// Runners of which a successor knows; no other one is given work.
  void SetRecorded(std::set<std::string> runners) {
    recorded_ = std::move(runners);
  }
  /// Nothing of `id` runs any more and nothing will.
  void RemoveRunner(const std::string& id, millis now);
  /// `id` has begun a new life: what ran is gone, unanswered starts are not.
  void RunnerReborn(const std::string& id, millis now);
  const runner_state* FindRunner(const std::string& id) const;

  /// A runner's listing in answer to a look sent at `sent_at`.
  std::vector<recorded_end> ApplyListing(const std::string& id,
                                         const fleet::runner_listing& listing,
                                         millis sent_at, millis now);
  void OrderAnswered(const order& order, fleet::order_outcome outcome,
                     millis now);

  /// Runners whose hosts are due for maintenance: tasks that last go
  /// elsewhere if they can.
  void SetDue(std::set<std::string> runners) { due_ = std::move(runners); }
  int TaskCount(const std::string& runner) const;
  /// Tasks on `runner` that never end by themselves.
  int LastingTaskCount(const std::string& runner) const;

  /// What the jobs of each pool ask for, as of the last plan.
  std::map<std::string, pool_demand> Demand() const;

  /// Starts that may or may not have been carried out.
  std::size_t UnknownStarts() const;
  /// Orders to give now.
  std::vector<order> Plan(millis now, millis unix_now);
  /// Questions to the advice service that the last plan needs answered, the
  /// most urgent first.
  std::vector<advice_request> TakeAdviceRequests();
  /// The answer to a question that was sent at `sent_at`.
  void AdviceGiven(const advice_request& request,
                   const std::vector<fleet::runner_ticket>& allowed,
                   millis sent_at);
  /// Asks for a stop of what runs on `id` as far as budgets allow it.
  /// Returns true if nothing runs there any more.
  bool Evacuate(const std::string& id, bool stop_batch, millis now);

  /// Jobs with changes to keep, at most `limit`, in the order in which they
  /// changed; jobs whose earlier write is not answered are left out. Each
  /// returned write has to be answered by Kept or NotKept.
  std::vector<pending_write> TakeWrites(std::size_t limit);
  /// The write of `job` failed or got no answer.
  void NotKept(const std::string& job);
  void Kept(const std::string& job, std::uint64_t change,
            std::uint64_t revision);
  /// The progress key of `job` turned out to have `revision`.
  void SetRecordRevision(const std::string& job, std::uint64_t revision);
  bool IsKept(const std::string& job, std::uint64_t change) const;

  /// Decisions since the last call, for logs and metrics.
  std::vector<scheduler_event> TakeEvents();

 private:
  struct task_ref {
    job_state* job = nullptr;
    repetition_state* repetition = nullptr;
    const fleet::task_step* step = nullptr;
    step_state* state = nullptr;
    task_state* task = nullptr;
  };
  /// Where a runner is.
  struct place {
    std::string pool;
    std::string data_centre;
    friend auto operator<=>(const place&, const place&) = default;
  };
  /// A placed run whose start is held back.
  struct held_run {
    fleet::task_name task;
    std::string runner;
    int run = 0;
  };
  struct candidate {
    job_state* job = nullptr;
    int category = 0;
    millis latest_start = 0;
  };

  task_ref FindTask(const fleet::task_name& name);
  void EnsureRepetition(const fleet::task_name& name);
  void ApplyEnd(const std::string& runner, const fleet::listed_end& end,
                millis now, std::vector<recorded_end>& out);
  void LearnFromEnd(const task_ref& ref, const fleet::listed_end& end,
                    const std::string& runner, millis now);
  void CountEnd(const task_ref& ref, const fleet::listed_end& end);
  static void StopAnswered(run_state& run, fleet::order_outcome outcome,
                           millis now);
  void StartAnswered(const order& order, const task_ref& ref, run_state& run,
                     fleet::order_outcome outcome, millis now);
  /// Gives a runner no start for a moment after it has refused one.
  void PauseRunner(const std::string& id, millis now);
  void EndRun(task_ref& ref, const fleet::task_name& name,
              const fleet::listed_end& end, const std::string& runner,
              millis now);
  void FinishStepOrJob(task_ref& ref, millis now);
  void FinishJob(job_state& job, job_phase phase, millis now);
  void ApplyRunning(const std::string& runner, const fleet::listed_run& run,
                    millis now);
  void DropVanished(const std::string& runner,
                    const fleet::runner_listing& listing, millis sent_at,
                    millis now);
  void DetachRun(const fleet::task_name& name, const task_ref& ref,
                 const std::string& runner, int run);
  void AttachRun(const fleet::task_name& name, const task_ref& ref,
                 run_state run);
  static std::vector<run_state>::iterator FindRun(task_state& task,
                                                  const std::string& runner,
                                                  int run);
  /// Detaches a run of which no end was listed, and says why.
  void GiveUpRun(const fleet::task_name& name, const task_ref& ref,
                 const run_state& run, std::string_view why, millis now);
  void Charge(const task_ref& ref, runner_state& runner, int sign);

  /// Notes that the job's progress has to be kept.
  void MarkChanged(job_state& job);
  void ListAsChanged(job_state& job);
  static void UpdateChain(job_state& job);
  void IndexPools();
  void ReleaseIfIdle(job_state& job);
  void CountUnlistedUse();
  void CreateRepetitions(job_state& job, millis unix_now);
  static std::string StepName(const job_state& job, int repetition,
                              int step_number);
  void NoRunnerFound(const job_state& job, const fleet::task_step& step,
                     const std::string& step_name, millis now);
  void AskAdvice(const job_state& job, const fleet::task_step& step,
                 const std::string& step_name, millis now);
  static bool StartRecorded(const job_state& job);
  /// Gives the starts of placed runs, or holds them back until the job's
  /// record is kept.
  void Emit(job_state& job, const std::vector<order>& starts, millis now,
            std::vector<order>& out);
  void SendStart(const task_ref& ref, run_state& run, const order& start,
                 millis now, std::vector<order>& out);
  static std::vector<held_run> HeldRuns(job_state& job);
  void DropHeld(job_state& job);
  /// Gives the starts of jobs whose records were kept since the last plan.
  void ReleaseHeld(millis now, std::vector<order>& out);
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
  candidate Rank(job_state& job, millis now) const;
  runner_state* ChooseRunner(const job_state& job, const fleet::task_step& step,
                             const step_state& state, int repetition,
                             int step_number, const task_state& task,
                             millis now);
  bool TakesWork(const runner_state& runner, millis now) const;
  bool Usable(const runner_state& runner, const fleet::task_step& step,
              millis now) const;
  bool WantsCopy(const job_state& job, const fleet::task_step& step,
                 const task_state& task, millis now) const;
  /// Notes the tasks of a step that found no runner.
  void CountBlocked(const job_state& job, const fleet::task_step& step,
                    const step_state& state);
  bool WithinCap(const job_state& job, const fleet::resources& needs) const;
  /// True if a runner that may have runs of the job has not listed them.
  bool MayRunUnlisted(const job_state& job) const;
  void RequestStop(const fleet::task_name& name, run_state& run,
                   std::string_view reason, millis now);
  /// The order that starts a placed run.
  order MakeStart(const fleet::task_name& name, const task_ref& ref,
                  const std::string& runner, int run, millis now) const;
  /// Places a run; the start that belongs to it is added to `starts`.
  void Place(const fleet::task_name& name, const task_ref& ref,
             runner_state& runner, int run, millis now,
             std::vector<order>& starts);
  bool AtWork(const task_state& task) const;
  /// Tasks of the step but `task` that are not at work as far as is known.
  int OthersAway(const step_state& state, const task_state& task) const;
  fleet::resources RunnerNeeds(const fleet::task_step& step) const;
  const fleet::task_step* FindStep(const fleet::task_name& name) const;
  bool HasKind(const runner_state& runner, bool serving) const;

  int next_run_base_;
  fleet::fleet_config config_;
  run_time_model run_times_;
  std::unordered_map<std::string, std::unique_ptr<job_state>> jobs_;
  std::vector<job_state*> active_;       ///< Not finished, as of the last plan.
  std::set<std::string> early_cancels_;  ///< Of jobs that are not known yet.
  /// Jobs with progress to keep, oldest change first. A job is listed once,
  /// but not while its write is on the way.
  std::deque<std::string> changed_;
  std::map<std::string, runner_state> runners_;
  std::map<std::string, std::vector<runner_state*>> pools_;
  bool pools_stale_ = true;
  /// Least needs in each pool for which this plan found no runner.
  std::map<std::string, fleet::resources> no_room_;
  millis housekeeping_at_ = 0;
  std::set<std::string> recorded_;
  std::set<std::string> due_;
  std::map<std::string, pool_demand> blocked_;  ///< As of the last plan.
  /// Runners that may hold runs of an earlier leader and have not listed them.
  std::map<std::string, place> expected_;
  std::set<place> expected_places_;  ///< Of these, as of this plan.
  std::map<std::string, fleet::resources> team_use_;
  /// What runs of an earlier leader that nobody has listed may use.
  std::map<std::string, fleet::resources> unlisted_use_;
  std::vector<order> queued_;
  ticket_book tickets_;
  std::vector<advice_request> advice_wanted_;
  std::vector<std::string> recorded_jobs_;  ///< Since the last plan.
  /// The last write of progress was kept: new jobs can be recorded.
  bool recordable_ = true;
  std::vector<scheduler_event> events_;
};

}  // namespace radishwing::sched
