#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/advice_client.h"
#include "src/node/host_keeper.h"
#include "src/node/leader.h"
#include "src/node/runner_link.h"
#include "src/node/store_watch.h"
#include "src/sched/plan_pacer.h"
#include "src/sched/recorded_runners.h"
#include "src/sched/scheduler.h"
#include "src/sched/term_lease.h"

namespace radishwing::node {

/// State and steps of a leader.
struct leader::impl : std::enable_shared_from_this<leader::impl> {
  /// An end that waits for its job's progress to be kept.
  struct unkept_end {
    std::uint64_t number = 0;
    std::string job;
    std::uint64_t change = 0;
  };

  impl(node_context& context, const election& won, std::function<void()> lost);

  // Taking over: leader_load.cc.
  void Load();
  void LoadRunnerSet();
  void LoadProgress(const std::string& after);
  void WatchRunners();
  void WatchJobs();
  void MaybeReady();
  void Retry(std::function<void()> step);

  // Runners: leader_runners.cc.
  void OnRunnerItem(const store::store_item& item);
  void OnRunnerSnapshot(const std::vector<store::store_item>& items);
  void OnRunnerReport(const fleet::runner_report& report);
  void OnRunnerEntryGone(const std::string& id);
  void AddLink(const fleet::runner_report& report, millis predecessor_until);
  runner_link_hooks LinkHooks();
  listing_use OnListing(const std::string& id,
                        const fleet::runner_listing& listing, millis sent_at);
  bool OnLeaseOver(const std::string& id);
  void DropGoneLinks();
  /// Nothing of `id` runs any more and nothing will.
  void DropRunner(const std::string& id, std::string_view why);
  void OnHostsListed(const std::set<std::string>& runners, millis asked_at);
  void RecordRunnerSet();
  void OnRunnerSetWritten(const result<store::commit_outcome>& outcome);

  // Scheduling and keeping: leader.cc.
  void Kick();
  void Plan();
  void Give(const sched::order& order);
  /// Asks the advice service, one question at a time.
  void AskAdvice();
  void OnAdvice(const sched::advice_request& asked,
                const result<std::vector<fleet::runner_ticket>>& allowed,
                millis sent_at);
  void Tick();
  void SetGauges();
  void LogEvents();
  void CountOutcome(const sched::scheduler_event& event);
  void AcknowledgeEnds();
  void KeepProgress();
  void OnKept(const std::vector<sched::pending_write>& writes,
              result<store::commit_outcome> outcome);
  void CheckConflict(const store::commit_outcome& outcome);
  /// The store renewed the node's lease by a call sent at `at`.
  void OnRenewed(millis at);
  void OnJobItem(const store::store_item& item);
  void DropOldJobs();
  bool MayOrder() const;
  /// Ends a hand-over whose last progress was not kept in time.
  void CheckHandOver();
  void Lose(std::string_view why);
  void Stop();

  node_context& context;
  std::uint64_t fence;
  millis predecessor_until;
  std::function<void()> lost;
  sched::scheduler scheduler;
  std::map<std::string, std::unique_ptr<runner_link>> links;
  std::map<std::string, std::deque<unkept_end>> unkept;
  /// Runners whose entry in the store has gone, since when.
  std::map<std::string, millis> entry_gone_since;
  std::unique_ptr<store_watch> runner_watch;
  std::unique_ptr<store_watch> job_watch;
  std::map<std::string, store::store_item> loaded_progress;  ///< By job.
  std::unique_ptr<host_keeper> hosts;
  std::unique_ptr<platform::advice_client> advice;
  millis ask_advice_at = 0;  ///< Not before this, after a failure.
  bool advice_in_flight = false;
  sched::plan_pacer pacer;
  boost::asio::steady_timer plan_timer;
  boost::asio::steady_timer tick_timer;
  boost::asio::steady_timer retry_timer;
  boost::asio::steady_timer keep_timer;
  bool handing_over = false;
  std::function<void()> handed_over;  ///< Null once it was called.
  millis handed_over_at = 0;
  std::vector<std::string> old_jobs;
  sched::recorded_runners recorded;
  std::uint64_t runner_set_revision = 0;
  /// The record holds exactly the runners that were written last.
  bool runner_set_certain = false;
  bool runner_set_stale = true;
  bool runner_set_loaded = false;
  bool runner_set_in_flight = false;
  millis began_at = 0;
  sched::term_lease lease;
  bool runners_loaded = false;
  bool jobs_loaded = false;
  bool jobs_skipped = false;  ///< While another node might lead.
  bool ready = false;
  bool plan_pending = false;
  bool keep_pending = false;
  int keeps_in_flight = 0;
  bool ended = false;
};

}  // namespace radishwing::node
