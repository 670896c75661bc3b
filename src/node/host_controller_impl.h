#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/host_client.h"
#include "src/node/host_controller.h"
#include "src/sched/host_pause.h"
#include "src/sched/pool_planner.h"

namespace radishwing::node {

/// Delay before a failed order to a host or a failed read of wave progress is
/// retried.
inline constexpr millis kHostOrderRetryMs = 700;

/// Implementation of host_controller, split over the files host_*.cc.
struct host_controller::impl
    : std::enable_shared_from_this<host_controller::impl> {
  /// A maintenance wave. The maps and sets are keyed by host name.
  struct wave_state {
    fleet::wave_request request;
    /// Hosts that need no further order: maintenance has begun or was refused
    /// for good.
    std::set<std::string> started_hosts;
    /// Time of the accepted maintenance order, for hosts that are not up again.
    std::map<std::string, millis> down_since;
    std::map<std::string, millis> draining_since;
    std::map<std::string, millis> retry_at;  ///< Earliest time to order again.
    std::set<std::string> in_flight;  ///< Hosts with an unanswered order.
    millis load_due = 0;  ///< Earliest time to read the progress again.
    bool loaded = false;  ///< `started_hosts` was read from the store.
    bool reported_running = false;   ///< Stored in the operator's record.
    bool reported_finished = false;  ///< Stored in the operator's record.
    bool report_in_flight = false;
  };

  impl(node_context& context, const election& won, sched::scheduler& scheduler,
       host_controller_hooks hooks)
      : context(context),
        fencing_token(won.fencing_token),
        scheduler(scheduler),
        hooks(std::move(hooks)),
        waves_allowed_at(won.waves_allowed_at),
        move_pause(
            won.moves_allowed_at,
            context.settings.host_controller_pause_ms + kMaxOrderInFlightMs),
        term_began_at(context.now.Now()),
        last_order_at(term_began_at) {}

  /// An ordered move whose host is not known to be in its new pool.
  struct pending_move {
    std::string to;  ///< Name of the new pool.
    millis ordered_at = 0;
    std::string runner;  ///< The host's runner before the move.
  };

  /// A runner whose host accepted an order that ends the runner.
  struct ending_runner {
    std::string host;
    millis ordered_at = 0;
  };

  void Tick();
  /// Plans moves and orders as many as the rate limit allows.
  void PlanMoves();
  /// Returns the state of all hosts as input to the pool planner.
  std::vector<sched::pool_host> PlannerHosts() const;
  /// Returns true if a wave has begun to drain `host` or has taken it down.
  bool IsInMaintenance(const std::string& host) const;
  /// Returns true if no earlier lease holder can have sent `host` an order
  /// within the pause that the platform requires between orders of two holders.
  bool IsPauseOver(const fleet::host_info& host) const;
  /// Returns true if the list of hosts reflects all orders of earlier lease
  /// holders.
  bool IsListCurrent() const;
  /// Sets the metrics of the pools and logs the planner's input, at most once a
  /// second.
  void ReportPoolLoad(const std::vector<sched::pool_host>& planner_hosts,
                      const std::map<std::string, sched::pool_demand>& demand);
  /// Cordons the runner of an empty host and orders the host's move. Does
  /// nothing if the host is not empty or is being moved already.
  void OrderMove(const sched::host_move& move);
  void ApplyMoveOutcome(const std::string& host, fleet::order_outcome outcome);
  /// Removes moves that have completed or exceeded their time limit.
  void RemoveEndedMoves();
  /// Reports the runners in `ending_runners` that have ended according to the
  /// newest list of hosts.
  void ConfirmEndedRunners();
  /// Requests a list of the hosts if the last request is old enough.
  void RequestHostList();
  /// Reads `started_hosts` of the wave from the store.
  void LoadWaveProgress(std::int64_t number);
  /// Takes the next due steps of a wave: reports its state, or drains hosts and
  /// orders their maintenance.
  void ContinueWave(wave_state& wave);
  /// Starts draining the hosts of `remaining` that sched::ChooseHostsToDrain
  /// selects, and tells the scheduler which runners are due for maintenance.
  void StartDraining(wave_state& wave,
                     const std::vector<std::string>& remaining);
  /// Evacuates a draining host; orders its maintenance once it is empty.
  void DrainHost(wave_state& wave, const fleet::host_info& host);
  /// Orders the maintenance of a host, which takes the host down.
  void TakeDown(wave_state& wave, const fleet::host_info& host);
  void ApplyMaintenanceOutcome(std::int64_t number, const std::string& host,
                               fleet::order_outcome outcome);
  /// Stops draining a host and lets its runner accept tasks again.
  void StopDraining(wave_state& wave, const std::string& host);
  /// Writes `started_hosts` to the store for a successor.
  void StoreWaveProgress(wave_state& wave);
  /// Writes the operator's record of the wave's state: succeeded if `finished`,
  /// else running.
  void ReportWaveState(wave_state& wave, bool finished);
  /// Returns null if the newest list has no such host.
  const fleet::host_info* FindHost(const std::string& name) const;

  node_context& context;
  std::uint64_t fencing_token;
  sched::scheduler& scheduler;
  host_controller_hooks hooks;
  std::unique_ptr<platform::host_client> client;
  std::map<std::int64_t, wave_state> waves;       ///< Keyed by wave number.
  std::map<std::string, fleet::host_info> hosts;  ///< Newest list, by name.
  std::map<std::string, pending_move> moves;      ///< Keyed by host.
  std::map<std::string, ending_runner> ending_runners;  ///< Keyed by runner.
  std::unique_ptr<sched::pool_planner> planner;
  std::string standby_pool;  ///< Empty if the configuration has none.
  millis pools_logged_at = 0;
  double move_tokens = 0;  ///< Token bucket that limits the rate of moves.
  millis move_tokens_updated_at = 0;
  millis waves_allowed_at;
  sched::host_pause move_pause;  ///< Pause after the predecessor's orders.
  millis term_began_at;
  millis last_order_at;
  millis list_requested_at = -1000;  ///< Time of the newest list request.
  millis hosts_as_of = -1;  ///< Time when `hosts` was requested; -1: never.
  bool list_in_flight = false;
  /// The host service has seen a newer fencing token; no more orders are sent.
  bool fenced = false;
};

}  // namespace radishwing::node
