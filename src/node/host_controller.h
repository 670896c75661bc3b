#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/fleet/wave_request.h"
#include "src/node/election.h"
#include "src/node/node_context.h"
#include "src/sched/pool_planner.h"
#include "src/sched/scheduler.h"

namespace radishwing::node {

/// Time within which the host service has carried out an order that reached it.
/// It is added to the pause that the platform requires between orders of two
/// lease holders to the same host. An order that has not reached the service
/// ends with the term, see term_lease::MayOrderHosts().
inline constexpr millis kMaxOrderInFlightMs = 300;

/// Callbacks that report which runners have ended and which ones exist.
struct host_controller_hooks {
  /// The host of `runner` was moved or taken down, so `runner` has ended with
  /// all of its tasks.
  std::function<void(const std::string& runner)> runner_ended;
  /// Receives the runners of all hosts, from a list that was requested at
  /// `asked_at`.
  std::function<void(const std::set<std::string>& runners, millis asked_at)>
      hosts_listed;
  /// Returns true if this node may send orders to hosts.
  std::function<bool()> may_order_hosts;
  /// Called once the orders of earlier leaders that may still be carried out
  /// are known.
  std::function<void()> orders_loaded;
};

/// Controls the hosts during one term of a leader: carries out maintenance
/// waves, reports their state to the operator, and moves hosts between pools.
class host_controller {
 public:
  host_controller(node_context& context, const election& won,
                  sched::scheduler& scheduler, host_controller_hooks hooks);
  ~host_controller();

  /// Adds a maintenance wave to carry out. Does nothing if a wave with the same
  /// number was added before.
  void AddWave(const fleet::wave_request& wave);
  /// Returns the time in ms since the last order to a host in this term, or
  /// since the start of the term if there was none.
  millis TimeSinceLastOrder() const;
  /// Returns true once the orders of earlier leaders that may still be carried
  /// out are known.
  bool OrdersLoaded() const;
  /// Keeps new tasks off the hosts with an order that may still be carried out.
  void CordonOrderedHosts();
  /// Returns the hosts in the newest list, with the moves that are under way.
  std::vector<sched::pool_host> Hosts() const;
  /// Sends all requests and orders that are due. The caller has to call it
  /// periodically.
  void Tick();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
