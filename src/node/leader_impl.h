#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
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
#include "src/sched/advice_turns.h"
#include "src/sched/plan_pacer.h"
#include "src/sched/recorded_runners.h"
#include "src/sched/scheduler.h"
#include "src/sched/start_pacer.h"
#include "src/sched/term_lease.h"

namespace radishwing::node {

/// Implementation of a leader. Its functions are defined in the leader*.cc
/// files.
struct leader::impl : std::enable_shared_from_this<leader::impl> {
  /// The end of a run. The leader acknowledges it to the runner once the store
  /// has the job progress that includes this end.
  struct pending_ack {
    /// Sequence number of the end in the runner's listing.
    std::uint64_t end_number = 0;
    std::string job;  ///< Id of the job; empty if nothing has to be stored.
    /// Lowest version of the job's progress that includes the end.
    std::uint64_t progress_version = 0;
  };

  /// The runners that have not been polled for long.
  struct unpolled_runners {
    std::size_t count = 0;
    std::string oldest;     ///< Id of the one polled the longest ago.
    millis oldest_age = 0;  ///< Time since the last poll of that one.
  };

  impl(node_context& context, const election& won,
       std::function<void()> on_lost);

  // Takeover: leader_load.cc.
  void StartTakeover();
  /// Reads the stored runner set. Its runners may still run tasks that earlier
  /// leaders started.
  void LoadRunnerSet();
  /// Reads the stored progress of jobs page by page. Begins at the progress key
  /// that follows the key `after`, or at the first key if `after` is empty.
  void LoadProgress(const std::string& after);
  /// Reads all runner entries in the store, then follows their changes.
  void WatchRunners();
  /// Reads all job records and cancel requests in the store, then follows their
  /// changes.
  void WatchJobs();
  /// Logs that a read of the takeover failed and will be repeated.
  void LogTakeoverDelay(std::string_view reading, const failure& error);
  /// Starts scheduling once runners, jobs and the configuration are loaded.
  void MaybeBecomeReady();
  /// Calls `callback` after a delay. Does not call it if the term has ended by
  /// then, or if RetryLater is called again during the delay.
  void RetryLater(std::function<void()> callback);

  // Runners: leader_runners.cc.
  /// Applies a runner's registration in the store; revision 0 means that the
  /// registration was removed.
  void ApplyRunnerEntry(const store::store_item& entry);
  /// Applies `entries`, the registrations of all runners in the store. Linked
  /// runners without a registration get no new tasks.
  void ApplyRunnerSnapshot(const std::vector<store::store_item>& entries);
  /// Adds a runner, or updates its registration.
  void UpdateRunner(const fleet::runner_report& report);
  /// Returns false if the entry names a pool that is not configured, or if it
  /// is not from the known incarnation of the runner or a later one.
  bool IsPlausible(const fleet::runner_report& report) const;
  /// Counts and logs an invalid entry, which another writer may have written.
  /// The last valid registration of the runner stays in force.
  void IgnoreRunnerEntry(const std::string& id, std::uint64_t revision);
  /// Records the runners as unregistered whose entries have been invalid for
  /// several heartbeats.
  void NoteUnconfirmedRunners();
  /// Records that a linked runner has no valid store entry. Such a runner gets
  /// no new tasks.
  void NoteUnregisteredRunner(const std::string& id);
  /// Connects to a runner. By `predecessor_lease_end`, the leases of earlier
  /// leaders on the runner have expired; 0: there is no such lease.
  void AddLink(const fleet::runner_report& report,
               millis predecessor_lease_end);
  runner_link_hooks MakeLinkHooks();
  /// Applies a runner's listing of its runs and run ends, from the response to
  /// a poll that was sent at `sent_at`.
  listing_result ApplyRunnerListing(const std::string& id,
                                    const fleet::runner_listing& listing,
                                    millis sent_at);
  /// Treats all runs on a runner as ended after the leader's lease on the
  /// runner has expired. If another node may be the leader and extend that
  /// lease, changes nothing and returns false.
  bool DiscardRuns(const std::string& id);
  /// Logs how many runners have not been polled for long, if there are any.
  void ReportUnpolledRunners();
  /// Returns the runner whose last poll was sent the longest ago, and how many
  /// have not been polled for long.
  unpolled_runners FindUnpolledRunners() const;
  /// Drops the runners that have had no store entry for some time and on which
  /// no task can run.
  void DropUnregisteredRunners();
  /// Disconnects from a runner on which no task runs or will run, and removes
  /// it from the scheduler.
  void DropRunner(const std::string& id, std::string_view reason);
  /// Drops the unreachable runners that have no store entry and are on no host.
  /// `listed` contains the runners of all hosts, from a list of the hosts that
  /// was requested at `asked_at`.
  void DropReplacedRunners(const std::set<std::string>& listed,
                           millis asked_at);
  /// Stores the set of linked runners for the next leader, if it has changed.
  void SaveRunnerSet();
  /// Handles the store's response to the commit of the runner set.
  void OnRunnerSetSaveDone(const result<store::commit_outcome>& outcome);

  // Scheduling: leader.cc; saving progress: leader_records.cc; removing expired
  // keys: leader_expiry.cc; advice: leader_advice.cc.
  /// Runs a scheduling pass after a short delay, unless one is already due. The
  /// pass covers all events until then.
  void SchedulePass();
  void RunSchedulingPass();
  void SendOrder(const sched::order& order);
  /// Asks the advice service which runners may run a step that requires its
  /// permission. At most one request is in flight.
  void RequestAdvice();
  /// Applies the advice service's response to `request`, which was sent at
  /// `sent_at`. Only the runners in `permitted` may run the step.
  void OnAdviceResponse(
      const sched::advice_request& request,
      const result<std::vector<fleet::runner_ticket>>& permitted,
      millis sent_at);
  /// Starts a timer that performs the leader's periodic checks after one
  /// interval and then calls ScheduleTick again.
  void ScheduleTick();
  void SetGauges();
  /// Writes the scheduler's new events to the log and to the metrics.
  void ReportSchedulerEvents();
  /// Reports the start or the end of a step's wait for its place.
  void ReportPlaceWait(const sched::scheduler_event& event);
  /// Counts a finished job by its outcome in the metrics. Ignores cancelled and
  /// long-running jobs, which have no outcome.
  void CountJobOutcome(const sched::scheduler_event& event);
  /// For each runner, acknowledges the run ends that are stored.
  void AcknowledgeSavedRunEnds();
  /// Acknowledges the run ends of a runner in the order of their numbers. Stops
  /// at the first run end that is missing from the stored job progress.
  void AcknowledgeSavedRunEnds(const std::string& runner,
                               std::deque<pending_ack>& ends);
  /// Writes the progress of changed jobs to the store after a short delay.
  void SaveProgress();
  /// Writes the progress that is queued, in several commits if it does not fit
  /// into one, as far as the limit of concurrent commits permits.
  void CommitQueuedProgress();
  void CommitProgress(const std::vector<sched::pending_write>& writes);
  /// Handles the store's response to a commit of `writes`, the progress of some
  /// jobs.
  void OnSaveDone(const std::vector<sched::pending_write>& writes,
                  result<store::commit_outcome> outcome);
  /// Handles a commit that the store rejected because a key has changed. Ends
  /// the term if the shard has another leader. Otherwise, takes over the job
  /// keys and the progress records that `outcome` contains.
  void ResolveConflict(const store::commit_outcome& outcome);
  /// Takes over the current state of a cancel request, whose removal the store
  /// has rejected.
  void ResolveCancelConflict(const store::store_item& item);
  /// Drops a job whose key, `item`, was removed or created again since the
  /// leader learned of the job; adds the job that the key now holds.
  void ResolveJobConflict(const store::store_item& item);
  /// Takes over the current progress record of a job, whose write the store has
  /// rejected.
  void ResolveProgressConflict(const store::store_item& item);
  /// Records that a call sent at `sent_at` renewed this node's lease. If jobs
  /// were skipped because another node might have been the leader, reads all
  /// jobs again once no other node can be the leader.
  void OnLeaseRenewed(millis sent_at);
  /// Applies a job record or a cancel request that was read from the store.
  void ApplyJobEntry(const store::store_item& entry);
  /// Applies all job records and cancel requests in the store.
  void ApplyJobSnapshot(const std::vector<store::store_item>& entries);
  /// Logs that all jobs will be read again because of `reason`.
  void LogRepeatedJobRead(std::string_view reason);
  /// Removes keys from the store whose retention time has passed: those of some
  /// finished jobs, or some cancel requests without a job.
  void RemoveExpiredKeys();
  void RemoveJobs(const std::vector<std::string>& jobs);
  void RemoveCancels(const std::vector<sched::early_cancels::request>& cancels);
  /// Commits a removal of keys. Calls `on_removed` once the store has confirmed
  /// it; until then, what the keys stand for must stay in memory.
  void CommitRemoval(store::store_commit commit,
                     std::function<void()> on_removed);
  void OnRemovalDone(const result<store::commit_outcome>& outcome,
                     const std::function<void()>& on_removed);
  /// Returns true if this node's lease permits orders, the term has not ended
  /// and no handover has begun.
  bool MaySendOrders() const;
  /// Completes a handover after its timeout, although some job progress is not
  /// stored yet.
  void CompleteOverdueHandOver();
  /// Stops the leader because it has lost the leadership, and calls `on_lost`.
  void EndTerm(std::string_view reason);
  /// Cancels all timers and watches; later callbacks have no effect.
  void Stop();

  node_context& context;
  std::uint64_t fencing_token;
  /// By this time, every lease that an earlier leader holds on a runner has
  /// expired; 0: there was no earlier leader.
  millis predecessor_lease_end;
  std::function<void()> on_lost;  ///< Called when the leadership is lost.
  sched::scheduler scheduler;
  std::map<std::string, std::unique_ptr<runner_link>> links;  ///< By runner id.
  /// Run ends that are not acknowledged yet, keyed by runner id. The ends of
  /// each runner are in the order of their numbers.
  std::map<std::string, std::deque<pending_ack>> pending_acks;
  millis unpolled_reported_at = 0;  ///< See ReportUnpolledRunners().
  /// Time at which the leader first noticed that a runner has no store entry,
  /// keyed by runner id.
  std::map<std::string, millis> unregistered_since;
  /// By runner id, the time since which the runner's store entry has been
  /// invalid.
  std::map<std::string, millis> ignored_entries;
  std::unique_ptr<store_watch> runner_watch;
  std::unique_ptr<store_watch> job_watch;
  /// Progress records that were read from the store, keyed by job id. Cleared
  /// once all jobs are loaded.
  std::map<std::string, store::store_item> loaded_progress;
  std::unique_ptr<host_controller> hosts;  ///< Null after the end of the term.
  /// Client of the advice service, which decides which runners may run a step;
  /// null before the first request.
  std::unique_ptr<platform::advice_client> advice;
  /// Earliest time of the next request to the advice service after a failed
  /// request; 0: no request has failed.
  millis advice_retry_at = 0;
  bool advice_in_flight = false;
  sched::advice_turns advice_order;  ///< Order of the queries.
  /// Result of scheduler::PendingJobCounts() at `pending_counted_at`.
  std::map<std::string, std::size_t> pending_counts;
  millis pending_counted_at = -1;  ///< -1: not counted yet.
  sched::start_pacer start_pace;   ///< Limits the starts of tasks.
  sched::plan_pacer pacer;         ///< Determines the delay before each pass.
  boost::asio::steady_timer pass_timer;
  boost::asio::steady_timer tick_timer;
  boost::asio::steady_timer retry_timer;  ///< Used by RetryLater().
  boost::asio::steady_timer save_timer;
  bool handing_over = false;
  /// Callback that HandOver() received; null before HandOver() was called and
  /// after the callback was called.
  std::function<void()> on_handover;
  millis handover_started_at = 0;
  bool removal_in_flight = false;  ///< See CommitRemoval().
  millis next_removal_at = 0;      ///< Earliest time of the next such commit.
  /// Tracks the runners that are known to be in the stored runner set.
  sched::recorded_runners runner_set_record;
  /// Last known store revision of RunnerSetKey().
  std::uint64_t runner_set_revision = 0;
  /// The store has confirmed the most recent write of the runner set.
  bool runner_set_confirmed = false;
  std::string runner_set_text;  ///< The most recently written runner set.
  /// A runner was added or removed after the most recent write of the runner
  /// set, or that write failed.
  bool runner_set_dirty = true;
  /// The runner set that the predecessor stored has been read.
  bool runner_set_loaded = false;
  bool runner_set_save_in_flight = false;
  millis load_started_at = 0;
  sched::term_lease lease;  ///< This node's lease, which bounds the term.
  bool runners_loaded = false;
  bool jobs_loaded = false;
  /// Some jobs were not loaded because another node may lead.
  bool jobs_skipped = false;
  bool ready = false;         ///< See leader::Ready().
  bool pass_pending = false;  ///< pass_timer is running.
  bool save_pending = false;  ///< save_timer is running.
  int saves_in_flight = 0;    ///< Progress commits that await a response.
  bool ended = false;         ///< The term has ended.
};

}  // namespace radishwing::node
