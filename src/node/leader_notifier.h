#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/node/admission_control.h"
#include "src/node/leader.h"
#include "src/node/node_context.h"
#include "src/node/peer_client.h"

namespace radishwing::node {

/// Notifies the shard's leader of stored jobs and cancel requests. Without a
/// notification, the leader finds them in the store about a second later. A
/// failed notification is retried a few times.
class leader_notifier {
 public:
  /// `local_leader` returns the leader in this process, or null if this node
  /// does not lead. The leader's responses go to `admission`, which must
  /// outlive this object.
  leader_notifier(node_context& context, peer_client& peers,
                  std::function<leader*()> local_leader,
                  admission_control& admission);
  ~leader_notifier();

  /// Notifies the leader of a stored job; `record` and `revision` are the value
  /// and the revision of the job's key in the store.
  void NotifyJobStored(const std::string& id, const std::string& record,
                       std::uint64_t revision);
  /// Notifies the leader of a stored cancel request.
  void NotifyCancelStored(const std::string& id);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
