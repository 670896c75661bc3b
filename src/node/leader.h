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

/// What a leader knows about a job.
struct job_answer {
  bool known = false;
  sched::job_phase phase = sched::job_phase::kPending;
};

/// One term of leadership of a shard, from the takeover to the end. Used on
/// the node's thread.
class leader {
 public:
  /// `lost` runs once, when a higher fencing token was seen.
  leader(node_context& context, const election& won,
         std::function<void()> lost);
  ~leader();

  std::uint64_t Fence() const;
  /// True once the jobs are loaded and questions can be answered.
  bool Ready() const;
  /// The node's lease was good at `at`.
  void Renewed(millis at);
  void ConfigChanged();
  void WaveRequested(const fleet::wave_request& wave);
  /// A job that was accepted: its key's value.
  void AddJob(std::string_view id, std::string_view record);
  void CancelJob(const std::string& id);
  job_answer State(const std::string& id) const;
  std::size_t PendingCount(std::string_view queue) const;
  /// Brings the gauges up to date; called before the metrics are read.
  void SetGauges();
  /// Time since the last order to a host, in ms.
  millis HostOrderAge() const;
  /// Gives no more orders, keeps what has ended, then runs `done`.
  void HandOver(std::function<void()> done);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
