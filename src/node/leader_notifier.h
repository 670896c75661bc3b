#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/node/leader.h"
#include "src/node/node_context.h"
#include "src/node/peer_link.h"

namespace radishwing::node {

/// Notifies the shard's leader of jobs and cancels that are already stored, so
/// that they take effect before its next poll of the store. A failed
/// notification is retried a few times; if all attempts fail, the leader finds
/// the change about a second later.
class leader_notifier {
 public:
  /// `local_leader` returns the leader in this process, or null.
  leader_notifier(node_context& context, peer_link& peers,
                  std::function<leader*()> local_leader);
  ~leader_notifier();

  /// `record` is the value stored under the job's key.
  void NotifyJob(const std::string& id, const std::string& record);
  void NotifyCancel(const std::string& id);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
