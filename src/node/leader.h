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

/// Body of the leader's response to a node that has the current summary.
inline constexpr std::string_view kUnchangedBacklog = "=";

/// State of a job as the leader knows it.
struct job_status {
  bool known = false;  ///< False: the leader has no record of the job.
  sched::job_phase phase = sched::job_phase::kPending;  ///< Valid if known.
};

/// Schedules the jobs of the shard for one term, which begins when this node is
/// elected. Not thread-safe: use it on the thread that runs `context.io`.
class leader {
 public:
  /// Begins the term that `won` describes: starts to load the state that
  /// earlier leaders stored. `on_lost` is called at most once: when this node's
  /// lease was not renewed in time or another leader was detected.
  leader(node_context& context, const election& won,
         std::function<void()> on_lost);
  ~leader();

  /// Returns the fencing token that all orders of this term carry.
  std::uint64_t FencingToken() const;
  /// Returns true once runners, jobs and the configuration are loaded. Only
  /// then does the leader send orders and answer queries.
  bool Ready() const;
  /// Returns the time since the leader began to load the jobs.
  millis TimeSinceElection() const;
  /// Records that a call sent at `sent_at` renewed this node's lease in the
  /// store, which extends the time for which the leader may send orders.
  void RecordLeaseRenewal(millis sent_at);
  /// Applies the current `config` of the node_context.
  void ApplyConfig();
  /// Adds a maintenance wave; ignores one whose number is already known.
  void AddMaintenanceWave(const fleet::wave_request& wave);
  /// Adds a job that is already stored; `record` and `revision` are the value
  /// and the revision of the job's key in the store. Ignores a job that the
  /// leader already knows.
  void AddJob(std::string_view id, std::string_view record,
              std::uint64_t revision);
  /// Cancels a job whose cancel request is already stored. The job itself may
  /// be added later.
  void CancelJob(const std::string& id);
  /// Returns the state of a job. Until a final state other than kCancelled has
  /// been stored, the job is reported as running.
  job_status JobStatus(const std::string& id) const;
  /// Returns the number of jobs of `queue` of which no task has started.
  std::size_t PendingCount(std::string_view queue) const;
  /// Returns the body that tells a node of the current backlog summary: empty
  /// without a shortage if the node has no summary, or kUnchangedBacklog if the
  /// node has that summary already. `node` is its name; `fencing_token` and
  /// `sequence` identify the summary that it has. `refused` is the encoded work
  /// that the node refused, or empty.
  std::string BacklogResponse(const std::string& node,
                              std::uint64_t fencing_token,
                              std::uint64_t sequence, std::string_view refused);
  /// Sets the gauges that show the leader's state; called before each export of
  /// the metrics.
  void SetGauges();
  /// Returns the time since this term's last order to a host, or since the
  /// start of the term if there was none; 0 after the term was lost.
  millis HostOrderAge() const;
  /// Stops sending orders and stores the job progress that has not been stored
  /// yet. Calls `done` when all progress is stored or after a timeout.
  void HandOver(std::function<void()> done);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
