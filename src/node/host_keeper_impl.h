#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/host_client.h"
#include "src/node/host_keeper.h"
#include "src/sched/host_pause.h"
#include "src/sched/pool_planner.h"

namespace radishwing::node {

/// An order to a host that was not carried out is given again after this.
inline constexpr millis kHostOrderRetryMs = 700;

/// State and steps of a host_keeper.
struct host_keeper::impl : std::enable_shared_from_this<host_keeper::impl> {
  struct wave_state {
    fleet::wave_request request;
    std::set<std::string> begun;
    std::map<std::string, millis> down_since;  ///< Ordered, not back yet.
    std::map<std::string, millis> draining_since;
    std::map<std::string, millis> retry_at;
    std::set<std::string> in_flight;
    millis load_at = 0;  ///< Not before this.
    bool loaded = false;
    bool told_running = false;
    bool told_finished = false;
    bool telling = false;
  };

  impl(node_context& context, const election& won, sched::scheduler& scheduler,
       host_keeper_hooks hooks)
      : context(context),
        fence(won.fence),
        scheduler(scheduler),
        hooks(std::move(hooks)),
        waves_free_at(won.waves_free_at),
        pause(won.moves_free_at,
              context.settings.duty_lease_ms + kHolderMarginMs),
        began_at(context.now.Now()),
        ordered_at(began_at) {}

  /// A move that was ordered and is not over.
  struct move_state {
    std::string to;
    millis ordered_at = 0;
    std::string runner;  ///< On the host before the move.
  };

  /// A runner whose host took an order that ends it.
  struct ending_runner {
    std::string host;
    millis ordered_at = 0;
  };

  void Tick();
  void PlanMoves();
  std::vector<sched::pool_host> HostViews() const;
  bool InWave(const std::string& host) const;
  /// True if no earlier holder can have ordered `host` within the platform's
  /// pause between holders.
  bool Free(const fleet::host_info& host) const;
  /// True if the list of hosts shows what earlier holders have ordered.
  bool ListIsOwn() const;
  void LogPools(const std::vector<sched::pool_host>& views,
                const std::map<std::string, sched::pool_demand>& demand);
  void Move(const sched::host_move& move);
  void OnMoved(const std::string& host, fleet::order_outcome outcome);
  void ExpireMoves();
  /// Tells of the runners that accepted orders have ended.
  void ConfirmEnds();
  void List();
  void LoadWave(std::int64_t number);
  void StepWave(wave_state& wave);
  void ChooseDrains(wave_state& wave, const std::vector<std::string>& left);
  void StepHost(wave_state& wave, const fleet::host_info& host);
  void Begin(wave_state& wave, const fleet::host_info& host);
  void OnBegun(std::int64_t number, const std::string& host,
               fleet::order_outcome outcome);
  void ReleaseHost(wave_state& wave, const std::string& host);
  void KeepWave(wave_state& wave);
  void Tell(wave_state& wave, bool finished);
  const fleet::host_info* FindHost(const std::string& name) const;

  node_context& context;
  std::uint64_t fence;
  sched::scheduler& scheduler;
  host_keeper_hooks hooks;
  std::unique_ptr<platform::host_client> client;
  std::map<std::int64_t, wave_state> waves;
  std::map<std::string, fleet::host_info> hosts;
  std::map<std::string, move_state> moves;
  std::map<std::string, ending_runner> ending;  ///< By runner.
  std::unique_ptr<sched::pool_planner> planner;
  std::string standby;
  millis pools_logged_at = 0;
  double move_tokens = 0;  ///< Moves that may be ordered now.
  millis tokens_at = 0;
  millis waves_free_at;
  sched::host_pause pause;  ///< Of moves.
  millis began_at;
  millis ordered_at;
  millis listed_at = -1000;  ///< When the last list was asked for.
  millis hosts_as_of = -1;   ///< When `hosts` was asked for; -1: never.
  bool listing = false;
  bool fenced = false;
};

}  // namespace radishwing::node
