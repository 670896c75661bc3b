#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/advice_client.h"
#include "src/node/host_controller.h"
#include "src/node/leader.h"
#include "src/node/runner_link.h"
#include "src/node/store_watch.h"
#include "src/sched/plan_pacer.h"
#include "src/sched/recorded_runners.h"
#include "src/sched/scheduler.h"
#include "src/sched/term_lease.h"

namespace radishwing::node {

/// Implementation of a leader. Its functions are defined in the leader*.cc
/// files.
struct leader::impl : std::enable_shared_from_this<leader::impl> {
  /// The end of a run that will be acknowledged to its runner once the job's
  /// progress is stored.
  struct pending_ack {
    std::uint64_t number = 0;  ///< Number of the end in the runner's listing.
    std::string job;           ///< Empty if nothing has to be stored.
    std::uint64_t change = 0;  ///< Number of the job's change to be stored.
  };

  impl(node_context& context, const election& won,
       std::function<void()> on_lost);

  // Takeover: leader_load.cc.
  void StartTakeover();
  /// Reads which runners may run tasks of earlier leaders.
  void LoadRunnerSet();
  /// Reads the progress of all jobs whose keys follow the key `after`.
  void LoadProgress(const std::string& after);
  void WatchRunners();
  void WatchJobs();
  /// Starts scheduling once runners, jobs and the configuration are loaded.
  void MaybeBecomeReady();
  /// Calls `step` after a delay, unless the term has ended or RetryLater was
  /// called again by then.
  void RetryLater(std::function<void()> step);

  // Runners: leader_runners.cc.
  /// Applies a runner's entry in the store; revision 0 means that it was
  /// removed.
  void ApplyRunnerEntry(const store::store_item& entry);
  /// Applies all runner entries in the store. Linked runners that are not among
  /// them have no entry.
  void ApplyRunnerSnapshot(const std::vector<store::store_item>& entries);
  /// Adds a runner, or updates its registration.
  void UpdateRunner(const fleet::runner_report& report);
  /// Excludes a runner without a valid store entry from new tasks.
  void CordonUnregisteredRunner(const std::string& id);
  /// Connects to a runner. `predecessor_lease_end` is the latest time at which
  /// a lease that an earlier leader granted to it can expire; 0: no such lease.
  void AddLink(const fleet::runner_report& report,
               millis predecessor_lease_end);
  runner_link_hooks MakeLinkHooks();
  /// Applies the runs and run ends that a runner listed in its response to a
  /// poll, which was sent at `sent_at`.
  listing_result ApplyRunnerListing(const std::string& id,
                                    const fleet::runner_listing& listing,
                                    millis sent_at);
  /// Treats all runs on a runner as ended after its lease has expired. Returns
  /// false without doing so if another node may lead and extend the lease.
  bool DiscardRuns(const std::string& id);
  /// Drops the runners that have had no store entry for some time and on which
  /// no task can run.
  void DropUnregisteredRunners();
  /// Disconnects from a runner on which no task runs or will run, and removes
  /// it from the scheduler.
  void DropRunner(const std::string& id, std::string_view reason);
  /// Drops the unreachable runners without a store entry that are not among the
  /// runners of all hosts, `listed`, which were requested at `asked_at`.
  void DropReplacedRunners(const std::set<std::string>& listed,
                           millis asked_at);
  /// Stores the set of linked runners for the next leader, if it has changed.
  void SaveRunnerSet();
  void OnRunnerSetSaveDone(const result<store::commit_outcome>& outcome);

  // Scheduling and saving progress: leader.cc; advice: leader_advice.cc.
  /// Runs a scheduling pass after a short delay; events until then share it.
  void SchedulePass();
  void RunSchedulingPass();
  void SendOrder(const sched::order& order);
  /// Asks the advice service which runners may run the most urgent step that
  /// needs a permission. At most one request is in flight.
  void RequestAdvice();
  /// Applies the response of the advice service to `request`. It is binding:
  /// only the runners in `permitted` may run the step.
  void OnAdviceResponse(
      const sched::advice_request& request,
      const result<std::vector<fleet::runner_ticket>>& permitted,
      millis sent_at);
  /// Performs the periodic checks at a fixed interval, first after one
  /// interval.
  void ScheduleTick();
  void SetGauges();
  /// Writes the scheduler's new events to the log and to the metrics.
  void ReportSchedulerEvents();
  /// Counts a finished job by its outcome. Cancelled and long-running jobs have
  /// none.
  void CountJobOutcome(const sched::scheduler_event& event);
  /// Acknowledges the run ends that are in the stored progress.
  void AcknowledgeSavedRunEnds();
  /// Writes the progress of changed jobs to the store after a short delay.
  void SaveProgress();
  /// Handles the store's response to a commit of job progress.
  void OnSaveDone(const std::vector<sched::pending_write>& writes,
                  result<store::commit_outcome> outcome);
  /// Handles a commit that the store rejected because a key has changed: ends
  /// the term if the shard has another leader, else adopts the new revisions.
  void ResolveConflict(const store::commit_outcome& outcome);
  /// Extends the lease of this term; the call that renewed it was sent at
  /// `sent_at`. Reads skipped jobs again.
  void OnLeaseRenewed(millis sent_at);
  /// Applies a job record or a cancel request that was read from the store.
  void ApplyJobEntry(const store::store_item& entry);
  /// Deletes the stored keys of jobs whose retention time has passed.
  void RemoveExpiredJobs();
  bool MaySendOrders() const;
  /// Completes a handover whose last progress was not saved in time.
  void CompleteOverdueHandOver();
  /// Stops the leader because it has lost the leadership, and calls `on_lost`.
  void EndTerm(std::string_view reason);
  /// Cancels all timers and watches; later callbacks have no effect.
  void Stop();

  node_context& context;
  std::uint64_t fencing_token;
  millis predecessor_lease_end;
  std::function<void()> on_lost;
  sched::scheduler scheduler;
  std::map<std::string, std::unique_ptr<runner_link>> links;  ///< By runner.
  /// For each runner, in the order of their numbers.
  std::map<std::string, std::deque<pending_ack>> pending_acks;
  /// For each runner without a store entry, when that was first noticed.
  std::map<std::string, millis> unregistered_since;
  std::unique_ptr<store_watch> runner_watch;
  std::unique_ptr<store_watch> job_watch;
  std::map<std::string, store::store_item> loaded_progress;  ///< By job.
  std::unique_ptr<host_controller> hosts;
  std::unique_ptr<platform::advice_client> advice;
  millis advice_retry_at = 0;  ///< Earliest request after a failed one.
  bool advice_in_flight = false;
  sched::plan_pacer pacer;
  boost::asio::steady_timer pass_timer;
  boost::asio::steady_timer tick_timer;
  boost::asio::steady_timer retry_timer;
  boost::asio::steady_timer save_timer;
  bool handing_over = false;
  std::function<void()> on_handover;  ///< Called once, then null.
  millis handover_start = 0;
  /// Jobs that the scheduler has dropped but whose keys are still stored.
  std::vector<std::string> expired_jobs;
  sched::recorded_runners runner_set_record;
  /// Last known revision of the key that holds the runner set.
  std::uint64_t runner_set_revision = 0;
  /// The store has confirmed the set that was written last.
  bool runner_set_confirmed = false;
  /// A runner was added or removed after the last write, or that write failed.
  bool runner_set_dirty = true;
  bool runner_set_loaded = false;  ///< The predecessor's set has been read.
  bool runner_set_save_in_flight = false;
  millis load_started_at = 0;
  sched::term_lease lease;
  bool runners_loaded = false;
  bool jobs_loaded = false;
  /// Some jobs were not loaded because another node may lead.
  bool jobs_skipped = false;
  bool ready = false;
  bool pass_pending = false;  ///< pass_timer is running.
  bool save_pending = false;  ///< save_timer is running.
  int saves_in_flight = 0;
  bool ended = false;
};

}  // namespace radishwing::node
