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

/// Retry delay of a host order that was not carried out.
inline constexpr millis kHostOrderRetryMs = 700;

/// Implementation of host_controller.
struct host_controller::impl
    : std::enable_shared_from_this<host_controller::impl> {
  struct wave_state {
    fleet::wave_request request;
    std::set<std::string> started_hosts;
    std::map<std::string, millis> down_since;  ///< Ordered, not up again.
    std::map<std::string, millis> draining_since;
    std::map<std::string, millis> retry_at;
    std::set<std::string> in_flight;
    millis load_due = 0;  ///< Earliest time of the next attempt.
    bool loaded = false;
    bool reported_running = false;
    bool reported_finished = false;
    bool report_in_flight = false;
  };

  impl(node_context& context, const election& won, sched::scheduler& scheduler,
       host_controller_hooks hooks)
      : context(context),
        fence(won.fence),
        scheduler(scheduler),
        hooks(std::move(hooks)),
        waves_allowed_at(won.waves_allowed_at),
        move_pause(
            won.moves_allowed_at,
            context.settings.host_controller_lease_ms + kOrderInFlightMs),
        began_at(context.now.Now()),
        last_order_at(began_at) {}

  /// A move that was ordered and is not complete.
  struct move_state {
    std::string to;
    millis ordered_at = 0;
    std::string runner;  ///< The host's runner before the move.
  };

  /// A runner whose host accepted an order that ends the runner.
  struct ending_runner {
    std::string host;
    millis ordered_at = 0;
  };

  void Tick();
  void PlanMoves();
  std::vector<sched::pool_host> HostViews() const;
  bool InWave(const std::string& host) const;
  /// True if no earlier lease holder can have sent `host` an order within the
  /// pause that the platform requires between holders.
  bool IsPauseOver(const fleet::host_info& host) const;
  /// True if the list of hosts is recent enough to reflect all orders of
  /// earlier lease holders.
  bool ListIsCurrent() const;
  void LogPools(const std::vector<sched::pool_host>& views,
                const std::map<std::string, sched::pool_demand>& demand);
  void Move(const sched::host_move& move);
  void OnMoved(const std::string& host, fleet::order_outcome outcome);
  void ExpireMoves();
  /// Reports the runners that were ended by accepted orders.
  void ConfirmEndedRunners();
  void RefreshHosts();
  void LoadWave(std::int64_t number);
  void AdvanceWave(wave_state& wave);
  void ChooseDrains(wave_state& wave,
                    const std::vector<std::string>& remaining);
  void AdvanceHost(wave_state& wave, const fleet::host_info& host);
  void TakeDown(wave_state& wave, const fleet::host_info& host);
  void OnMaintenanceOrdered(std::int64_t number, const std::string& host,
                            fleet::order_outcome outcome);
  void ReleaseHost(wave_state& wave, const std::string& host);
  void StoreWaveProgress(wave_state& wave);
  void ReportWaveState(wave_state& wave, bool finished);
  const fleet::host_info* FindHost(const std::string& name) const;

  node_context& context;
  std::uint64_t fence;
  sched::scheduler& scheduler;
  host_controller_hooks hooks;
  std::unique_ptr<platform::host_client> client;
  std::map<std::int64_t, wave_state> waves;
  std::map<std::string, fleet::host_info> hosts;
  std::map<std::string, move_state> moves;
  std::map<std::string, ending_runner> ending_runners;  ///< Keyed by runner.
  std::unique_ptr<sched::pool_planner> planner;
  std::string standby;
  millis pools_logged_at = 0;
  double move_tokens = 0;  ///< Token bucket that limits the rate of moves.
  millis tokens_updated_at = 0;
  millis waves_allowed_at;
  sched::host_pause move_pause;  ///< Pause before a host may be moved.
  millis began_at;
  millis last_order_at;
  millis list_requested_at = -1000;  ///< When the newest list was requested.
  millis hosts_as_of = -1;           ///< When `hosts` was requested; -1: never.
  bool list_in_flight = false;
  bool fenced = false;
};

}  // namespace radishwing::node
