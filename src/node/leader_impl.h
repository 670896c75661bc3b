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

/// Implementation of a leader, split over the leader*.cc files.
struct leader::impl : std::enable_shared_from_this<leader::impl> {
  /// The end of a run, acknowledged to the runner once its job's progress is
  /// stored.
  struct pending_ack {
    std::uint64_t number = 0;
    std::string job;
    std::uint64_t change = 0;
  };

  impl(node_context& context, const election& won,
       std::function<void()> on_lost);

  // Takeover: leader_load.cc.
  void Load();
  void LoadRunnerSet();
  void LoadProgress(const std::string& after);
  void WatchRunners();
  void WatchJobs();
  void MaybeBecomeReady();
  void RetryLater(std::function<void()> step);

  // Runners: leader_runners.cc.
  void OnRunnerItem(const store::store_item& item);
  void OnRunnerSnapshot(const std::vector<store::store_item>& items);
  void OnRunnerReport(const fleet::runner_report& report);
  void OnRunnerEntryRemoved(const std::string& id);
  void AddLink(const fleet::runner_report& report,
               millis predecessor_lease_end);
  runner_link_hooks LinkHooks();
  listing_result OnListing(const std::string& id,
                           const fleet::runner_listing& listing,
                           millis sent_at);
  bool OnRunnerLeaseExpired(const std::string& id);
  void RemoveUnregisteredRunners();
  /// Removes a runner on which no task runs or will run.
  void DropRunner(const std::string& id, std::string_view reason);
  void OnHostsListed(const std::set<std::string>& runners, millis asked_at);
  void RecordRunnerSet();
  void OnRunnerSetWritten(const result<store::commit_outcome>& outcome);

  // Scheduling and saving progress: leader.cc; advice: leader_advice.cc.
  /// Schedules a plan unless one is pending.
  void SchedulePlan();
  void Plan();
  void SendOrder(const sched::order& order);
  /// Sends the most urgent request to the advice service; at most one is in
  /// flight.
  void RequestAdvice();
  void OnAdvice(const sched::advice_request& asked,
                const result<std::vector<fleet::runner_ticket>>& allowed,
                millis sent_at);
  void Tick();
  void SetGauges();
  void LogEvents();
  void CountJobOutcome(const sched::scheduler_event& event);
  void AcknowledgeSavedEnds();
  void SaveProgress();
  void OnSaveDone(const std::vector<sched::pending_write>& writes,
                  result<store::commit_outcome> outcome);
  void ResolveConflict(const store::commit_outcome& outcome);
  /// The node's lease was renewed by a call sent at `at`.
  void OnLeaseRenewed(millis at);
  void OnJobItem(const store::store_item& item);
  void RemoveExpiredJobs();
  bool MaySendOrders() const;
  /// Completes a handover whose last progress was not saved in time.
  void CheckHandOverTimeout();
  /// Stops the leader and reports it through `on_lost`.
  void EndTerm(std::string_view reason);
  void Stop();

  node_context& context;
  std::uint64_t fencing_token;
  millis predecessor_lease_end;
  std::function<void()> on_lost;
  sched::scheduler scheduler;
  std::map<std::string, std::unique_ptr<runner_link>> links;
  std::map<std::string, std::deque<pending_ack>> pending_acks;
  /// Runners without an entry in the store, by when that was noticed.
  std::map<std::string, millis> entry_removed_at;
  std::unique_ptr<store_watch> runner_watch;
  std::unique_ptr<store_watch> job_watch;
  std::map<std::string, store::store_item> loaded_progress;  ///< By job.
  std::unique_ptr<host_controller> hosts;
  std::unique_ptr<platform::advice_client> advice;
  millis advice_retry_at = 0;  ///< No request before this, after a failure.
  bool advice_in_flight = false;
  sched::plan_pacer pacer;
  boost::asio::steady_timer plan_timer;
  boost::asio::steady_timer tick_timer;
  boost::asio::steady_timer retry_timer;
  boost::asio::steady_timer save_timer;
  bool handing_over = false;
  std::function<void()> on_handover;  ///< Null once called.
  millis handover_start = 0;
  std::vector<std::string> expired_jobs;
  sched::recorded_runners recorded;
  std::uint64_t runner_set_revision = 0;
  /// The stored record is known to equal the set that was written last.
  bool runner_set_confirmed = false;
  bool runner_set_dirty = true;
  bool runner_set_loaded = false;
  bool runner_set_in_flight = false;
  millis load_started_at = 0;
  sched::term_lease lease;
  bool runners_loaded = false;
  bool jobs_loaded = false;
  bool jobs_skipped = false;  ///< Not loaded: another node may lead.
  bool ready = false;
  bool plan_pending = false;
  bool save_pending = false;
  int saves_in_flight = 0;
  bool ended = false;
};

}  // namespace radishwing::node
