#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/fleet/wave_request.h"
#include "src/node/election.h"
#include "src/node/node_context.h"
#include "src/sched/job_state.h"

namespace radishwing::node {

/// The state of a job as the leader reports it.
struct job_status {
  bool known = false;
  sched::job_phase phase = sched::job_phase::kPending;
};

/// One term of leadership of a shard, from the takeover to the end. Not
/// thread-safe: used on the node's thread only.
class leader {
 public:
  /// Starts the takeover. `on_lost` runs at most once, when the lease was not
  /// renewed in time or another leader was detected.
  leader(node_context& context, const election& won,
         std::function<void()> on_lost);
  ~leader();

  std::uint64_t FencingToken() const;
  /// Returns true once runners, jobs and configuration are loaded, so that
  /// queries can be answered.
  bool Ready() const;
  /// The node's lease was renewed by a call sent at `at`.
  void LeaseRenewed(millis at);
  void ConfigChanged();
  void WaveRequested(const fleet::wave_request& wave);
  /// Adds an accepted job; `record` is the value stored under its key.
  void AddJob(std::string_view id, std::string_view record);
  void CancelJob(const std::string& id);
  job_status State(const std::string& id) const;
  std::size_t PendingCount(std::string_view queue) const;
  /// Updates the gauges; called before the metrics are read.
  void SetGauges();
  /// Time since the last order to a host, in ms.
  millis HostOrderAge() const;
  /// Stops sending orders, saves the progress of the runs that have ended, then
  /// runs `done`.
  void HandOver(std::function<void()> done);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
