#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "src/fleet/wave_request.h"
#include "src/node/election.h"
#include "src/node/node_context.h"
#include "src/sched/scheduler.h"

namespace radishwing::node {

/// Longest time for which an order of the predecessor may still be in flight.
/// Added to the pause that the platform requires between orders of two
/// different lease holders of one host.
inline constexpr millis kOrderInFlightMs = 300;

/// Callbacks of a host_controller that report on runners.
struct host_controller_hooks {
  /// The host of `runner` was moved or taken down, so no task runs there.
  std::function<void(const std::string& runner)> runner_ended;
  /// The runners of all hosts, from a list that was requested at `asked_at`.
  std::function<void(const std::set<std::string>& runners, millis asked_at)>
      listed;
};

/// Controls the hosts during one term of a leader: carries out maintenance
/// waves, reports their progress to the operator, and moves hosts between
/// pools.
class host_controller {
 public:
  host_controller(node_context& context, const election& won,
                  sched::scheduler& scheduler, host_controller_hooks hooks);
  ~host_controller();

  void AddWave(const fleet::wave_request& wave);
  /// Time in ms since the last order of this term, or since the start of the
  /// term if there was none.
  millis TimeSinceLastOrder() const;
  /// Performs all steps that are due. Called periodically.
  void Tick();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
