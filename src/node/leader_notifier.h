#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/node/leader.h"
#include "src/node/node_context.h"
#include "src/node/peer_link.h"

namespace radishwing::node {

/// Tells the shard's leader of jobs and cancels that are in the store already,
/// so that it need not wait for its next reading. A push is repeated a few
/// times; what is lost all the same costs the leader a second.
class leader_notifier {
 public:
  /// `local_leader` returns the leader that runs in this process, or null.
  leader_notifier(node_context& context, peer_link& peers,
                  std::function<leader*()> local_leader);
  ~leader_notifier();

  /// `record` is the job as it was stored.
  void Job(const std::string& id, const std::string& record);
  void Cancel(const std::string& id);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
