#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "src/node/election.h"
#include "src/node/node_context.h"

namespace radishwing::node {

/// Callbacks that report changes of this node's lease and role.
struct membership_hooks {
  /// This node was elected leader of the shard.
  std::function<void(const election& won)> elected;
  /// The store renewed the node's lease; the request was sent at `sent_at`.
  std::function<void(millis sent_at)> lease_renewed;
  /// This node is no longer the leader: another node was elected, or ShardKey()
  /// was removed or has expired. Not called for a term that Resign ended.
  std::function<void()> leadership_lost;
};

/// Registers this node in the store under a lease, keeps node_context::members
/// up to date, and campaigns for leadership when the shard has no leader.
class membership {
 public:
  /// Registers `peer_address` as the address for calls from other nodes.
  membership(node_context& context, std::string peer_address,
             membership_hooks hooks);
  ~membership();

  /// Returns true if this node leads although another registered node has at
  /// least twice its CPU allowance.
  bool ShouldStepDown() const;
  /// Removes ShardKey(), so that another node can be elected. Must not be
  /// called before this process has stopped sending orders. `host_order_age_ms`
  /// is the time in ms since this process sent its last order to a host.
  void Resign(millis host_order_age_ms);
  /// Revokes the node's lease, which removes all keys of this node, and stops
  /// campaigning. `done` is called once the store has replied or the call has
  /// failed.
  void Leave(std::function<void()> done);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
