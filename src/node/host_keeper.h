#pragma once

#include <cstdint>
#include <memory>

#include "src/fleet/wave_request.h"
#include "src/node/node_context.h"
#include "src/sched/scheduler.h"

namespace radishwing::node {

/// Controls the hosts: carries out maintenance waves, tells the operator how
/// far they are, and moves hosts between pools. Belongs to one term of a
/// leader.
class host_keeper {
 public:
  host_keeper(node_context& context, std::uint64_t fence,
              sched::scheduler& scheduler);
  ~host_keeper();

  void AddWave(const fleet::wave_request& wave);
  /// Takes the next steps; called often.
  void Tick();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
