#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/host_client.h"
#include "src/node/host_controller.h"
#include "src/node/host_order_record.h"
#include "src/node/wave_record.h"
#include "src/sched/host_pause.h"
#include "src/sched/pool_planner.h"
#include "src/sched/runner_holds.h"
#include "src/sched/wave_presence.h"

namespace radishwing::node {

/// Delay before a failed order to a host, or a failed read of a wave's
/// progress from the store, is retried.
inline constexpr millis kHostOrderRetryMs = 700;

/// Implementation of host_controller, split over the files host_*.cc.
struct host_controller::impl
    : std::enable_shared_from_this<host_controller::impl> {
  /// A maintenance wave. The maps and sets are keyed by host name.
  struct wave_state {
    fleet::wave_request request;
    millis known_since = 0;  ///< Time when this leader learned of the wave.
    /// Started hosts, and hosts that a list has shown, in this or an earlier
    /// term.
    wave_record progress;
    /// Hosts that do not hold the wave although their maintenance has not
    /// begun: they are gone or were never listed.
    std::set<std::string> absent_hosts;
    /// Time of the accepted maintenance order, for hosts that are not up again.
    std::map<std::string, millis> down_since;
    /// Time when draining began, for hosts whose maintenance order is not
    /// accepted yet.
    std::map<std::string, millis> draining_since;
    /// Earliest time of the next maintenance order to the host.
    std::map<std::string, millis> next_order_at;
    /// Earliest time to read `progress` from the store again.
    millis next_load_at = 0;
    /// True once `progress` has been read from the store.
    bool progress_loaded = false;
    /// True once the wave's state that the operator reads in the store was set
    /// to "running" in this term.
    bool reported_running = false;
    /// True once the wave's state in the store was set to "succeeded" in this
    /// term.
    bool reported_finished = false;
    /// True while a write of the wave's state to the store is unanswered.
    bool report_in_flight = false;
  };

  impl(node_context& context, const election& won, sched::scheduler& scheduler,
       host_controller_hooks hooks)
      : context(context),
        fencing_token(won.fencing_token),
        scheduler(scheduler),
        hooks(std::move(hooks)),
        load_timer(context.io),
        waves_allowed_at(won.waves_allowed_at),
        move_pause(
            won.moves_allowed_at,
            context.settings.host_controller_pause_ms + kMaxOrderInFlightMs),
        term_began_at(context.now.Now()),
        last_order_at(term_began_at) {}

  /// An ordered move whose host is not known to be in its new pool.
  struct pending_move {
    std::string new_pool;   ///< Name of the new pool.
    millis ordered_at = 0;  ///< Time when the order was sent.
    std::string runner;     ///< Id of the host's runner before the move.
  };

  /// Where an order to a host stands.
  enum class order_phase {
    kQueued,    ///< The record of the orders does not name the order yet.
    kInFlight,  ///< The order was sent.
    /// The order got no response, or an earlier leader may have sent it. The
    /// host service may carry it out at any time, until a repeated order is
    /// accepted.
    kUnanswered,
  };

  /// An order that may still be carried out.
  struct open_order {
    host_order order;
    order_phase phase = order_phase::kQueued;
    /// True if the order was sent before and got no response.
    bool is_repeat = false;
    millis retry_at = 0;  ///< Earliest time to repeat the order.
  };

  /// A runner whose host accepted an order that ends the runner.
  struct ending_runner {
    std::string host;       ///< Name of the host.
    millis ordered_at = 0;  ///< Time when the accepting reply arrived.
  };

  void Tick();
  /// Plans moves and orders as many as the rate limit allows.
  void PlanMoves();
  /// Tells the scheduler which runners get no new tasks because their hosts are
  /// to move.
  void SetLeavingRunners(millis now);
  /// Returns the state of all hosts as input to the pool planner.
  std::vector<sched::pool_host> PlannerHosts() const;
  /// Returns true if a wave has begun to drain `host` or has taken it down.
  bool IsInMaintenance(const std::string& host) const;
  /// The platform requires a pause between orders of two lease holders to the
  /// same host. Returns true if the pause after any order of an earlier holder
  /// to `host` is certainly over.
  bool IsPauseOver(const fleet::host_info& host) const;
  /// Returns true if `listed_hosts` reflects all orders of earlier lease
  /// holders.
  bool IsHostListCurrent() const;
  /// Sets the metrics of the pools and logs the planner's input, at most once a
  /// second.
  void ReportPoolLoad(const std::vector<sched::pool_host>& planner_hosts,
                      const std::map<std::string, sched::pool_demand>& demand);
  /// Sets the metrics of a pool's blocked work.
  void ReportBlockedDemand(const std::string& pool,
                           const sched::pool_demand& load);
  /// Orders the move of an empty host. Does nothing if the host is not empty or
  /// is being moved already.
  void OrderMove(const sched::host_move& move);
  void ApplyMoveOutcome(const std::string& host, const open_order& sent,
                        fleet::order_outcome outcome);
  /// Returns true if the newest list shows that the move was carried out.
  bool HasArrived(const pending_move& move, const fleet::host_info& host) const;
  /// Records the runners that an accepted order to a host may have ended: the
  /// one that it names, and the one that the host has now.
  void NoteEndingRunners(const std::string& host,
                         const std::string& named_runner);
  /// Removes moves that have completed or exceeded their time limit.
  void RemoveEndedMoves();
  /// Reports the runners in `ending_runners` that have ended according to the
  /// newest list of hosts.
  void ConfirmEndedRunners();
  /// Requests a list of the hosts if the last request is old enough.
  void RequestHostList();
  /// Reads `progress` of wave number `number` from the store.
  void LoadWaveProgress(std::int64_t number);
  /// Returns what the newest list shows about the host `name` of a wave.
  sched::host_presence Presence(const wave_state& wave,
                                const std::string& name) const;
  /// Updates `listed_hosts` and `absent_hosts` of a wave from the newest list.
  /// If a host has returned to the list within the time limit of a wave that
  /// was reported as succeeded, the wave goes on.
  void NoteListedHosts(wave_state& wave);
  /// Sets the metrics of a wave.
  void ReportWaveHosts(const wave_state& wave, int waiting, int not_listed);
  /// Continues a wave as far as possible now: reports its state to the
  /// operator, or drains hosts and orders their maintenance.
  void ContinueWave(wave_state& wave);
  /// Starts draining the hosts of `remaining` that sched::ChooseHostsToDrain
  /// selects, and tells the scheduler which runners are due for maintenance.
  void StartDraining(wave_state& wave,
                     const std::vector<std::string>& remaining);
  /// Evacuates a draining host; orders its maintenance once it is empty.
  void DrainHost(wave_state& wave, const fleet::host_info& host);
  /// Returns the number of hosts of the wave that are down for maintenance or
  /// may go down because of an order.
  int CountHostsDown(const wave_state& wave) const;
  void ApplyMaintenanceOutcome(const std::string& host, const open_order& sent,
                               fleet::order_outcome outcome);
  /// Writes `progress` to the store, so that the next leader does not repeat
  /// orders and knows which hosts existed.
  void StoreWaveProgress(const wave_state& wave);
  /// Writes the wave's state to the store key that the operator reads,
  /// "succeeded" if `finished`, else "running", together with `progress`.
  void ReportWaveState(wave_state& wave, bool finished);
  /// Reads the record of the orders that earlier leaders may have sent.
  void LoadOrders();
  /// Queues an order, to be sent once the record of the orders names it.
  void QueueOrder(const std::string& host, host_order order);
  /// Queues orders without a response again, when their hosts are empty.
  void RepeatUnansweredOrders();
  /// Returns true if the order is a maintenance order and the stored progress
  /// of its wave shows that the maintenance of `host` has begun.
  bool IsMaintenanceKnownAsStarted(const std::string& host,
                                   const host_order& order) const;
  /// Returns true if an order without a response may be repeated now.
  bool MayRepeat(const host_order& order, const fleet::host_info& host);
  /// Writes the record of the orders if orders are queued or the record is
  /// outdated, and then sends the queued orders.
  void StoreOrders();
  /// Applies the outcome of a write of the record `written`, and sends the
  /// orders to the hosts `queued` if it succeeded.
  void OnOrdersStored(const std::vector<std::string>& queued,
                      host_orders written,
                      const result<store::commit_outcome>& outcome);
  /// Sends the queued order to `host` with the fencing token `token`.
  void SendOrder(const std::string& host, std::uint64_t token);
  /// Applies the outcome of the order to `host`. The order stays open if the
  /// host service may still carry it out.
  void ApplyOrderOutcome(const std::string& host, fleet::order_outcome outcome);
  /// Drops the order to a host that does not exist any more or has visibly
  /// carried it out, unless a response is expected.
  void DropOrder(const std::string& host);

  // Which runners get no tasks: host_holds.cc.
  /// Returns all that holds against hosts and runners now.
  std::vector<sched::host_claim> HostClaims() const;
  /// Passes to the scheduler which runners get no new tasks.
  void ApplyHolds();
  /// Sets the metrics of hosts without tasks and logs them, at most once a
  /// second.
  void ReportHolds();

  /// Returns the host from `listed_hosts`, or null if it is not listed.
  const fleet::host_info* FindHost(const std::string& name) const;

  node_context& context;
  std::uint64_t fencing_token;
  sched::scheduler& scheduler;
  host_controller_hooks hooks;
  /// Null until the first request.
  std::unique_ptr<platform::host_client> host_service_client;
  std::map<std::int64_t, wave_state> waves;       ///< Keyed by wave number.
  std::map<std::string, open_order> open_orders;  ///< Keyed by host name.
  /// Retries the read of the record of the orders.
  boost::asio::steady_timer load_timer;
  bool orders_loaded = false;  ///< True once LoadOrders() has succeeded.
  host_orders stored_orders;  ///< Orders in the record as last read or written.
  std::uint64_t record_revision = 0;  ///< Revision of the record; 0: none.
  bool record_write_in_flight = false;
  /// Hosts in the newest list, keyed by name.
  std::map<std::string, fleet::host_info> listed_hosts;
  std::map<std::string, pending_move> pending_moves;    ///< Keyed by host name.
  std::map<std::string, ending_runner> ending_runners;  ///< Keyed by runner id.
  /// Null until the first call of PlanMoves.
  std::unique_ptr<sched::pool_planner> move_planner;
  std::string standby_pool;      ///< Pool name; empty if there is no such pool.
  millis pools_logged_at = 0;    ///< Time of the last ReportPoolLoad() output.
  millis holds_reported_at = 0;  ///< Time of the last ReportHolds() output.
  /// Time since which runners get no tasks, by runner id; see ReportHolds().
  std::map<std::string, millis> held_since;
  /// Number of moves that the rate limit permits now (token bucket).
  double move_tokens = 0;
  millis move_tokens_updated_at = 0;
  millis waves_allowed_at;       ///< See election::waves_allowed_at.
  sched::host_pause move_pause;  ///< Pause after the predecessor's orders.
  millis term_began_at;
  /// Time of the last order to a host; `term_began_at` if there was none.
  millis last_order_at;
  /// Time of the newest request for a list of the hosts. The initial value
  /// makes the first request due at once.
  millis list_requested_at = -1000;
  /// Time of the request that returned `listed_hosts`; -1: none yet.
  millis listed_hosts_as_of = -1;
  bool list_in_flight = false;  ///< True while a list request is unanswered.
  /// True once the host service has rejected an order because it has seen a
  /// newer fencing token; no more orders are sent then.
  bool fenced = false;
};

}  // namespace radishwing::node
