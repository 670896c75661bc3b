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

/// Added to the platform's pause between two holders of one host: an order of
/// the predecessor may be on its way for so long.
inline constexpr millis kHolderMarginMs = 300;

/// What a host_keeper tells about runners.
struct host_keeper_hooks {
  /// The host of `runner` was moved or taken down: nothing runs there.
  std::function<void(const std::string& runner)> runner_ended;
  /// All runners that the hosts had when they were listed, asked at
  /// `asked_at`.
  std::function<void(const std::set<std::string>& runners, millis asked_at)>
      listed;
};

/// Controls the hosts: carries out maintenance waves, tells the operator how
/// far they are, and moves hosts between pools. Belongs to one term of a
/// leader.
class host_keeper {
 public:
  host_keeper(node_context& context, const election& won,
              sched::scheduler& scheduler, host_keeper_hooks hooks);
  ~host_keeper();

  void AddWave(const fleet::wave_request& wave);
  /// Time since the last order of this term, in ms; without one, since it
  /// began.
  millis OrderAge() const;
  /// Takes the next steps; called often.
  void Tick();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
