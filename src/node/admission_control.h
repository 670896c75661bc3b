#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/fleet/job_record.h"
#include "src/node/leader.h"
#include "src/node/node_context.h"
#include "src/node/peer_client.h"
#include "src/sched/admission_policy.h"

namespace radishwing::node {

/// Decides whether this node accepts submitted jobs, from the backlog summaries
/// of the leader. The leader sends its summary with the responses to
/// notifications of jobs. While jobs are submitted and the summary of a
/// shortage gets old, the node asks for the newest one.
class admission_control {
 public:
  /// `local_leader` returns the leader in this process, or null if this node
  /// does not lead.
  admission_control(node_context& context, peer_client& peers,
                    std::function<leader*()> local_leader);
  ~admission_control();

  /// Decides about `job`, whose request is decoded; see
  /// sched::admission_policy::Decide.
  sched::admission_decision Decide(const fleet::job_record& job,
                                   bool returning);
  /// Records that this node accepts the job.
  void RecordAccepted(const fleet::job_record& job);
  /// Records that this node refuses the job for the first time.
  void RecordRefused(const fleet::job_record& job,
                     const sched::admission_decision& decision);

  /// Returns query parameters that tell the leader which summary this node has.
  std::string KnownSummary() const;
  /// Applies the body of the leader's response to a notification or a poll.
  /// Ignores a damaged one.
  void ApplyResponse(const std::string& body);
  /// Records that a notification or a poll of the leader failed.
  void RecordFailedContact();
  /// Returns the number of nodes that take submissions, as the leader has told.
  std::size_t NodeCount() const;
  /// Returns the highest store revision of which this node knows.
  std::uint64_t SeenRevision() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
