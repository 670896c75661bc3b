#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "src/node/election.h"
#include "src/node/node_context.h"

namespace radishwing::node {

/// Callbacks of a membership.
struct membership_hooks {
  /// This node was elected leader.
  std::function<void(const election& won)> elected;
  /// The node's lease was renewed by a call that was sent at `sent_at`.
  std::function<void(millis sent_at)> renewed;
  /// Another node leads, or this node's leader key was removed.
  std::function<void()> leadership_lost;
};

/// Registers this node in the store under a lease, watches the other nodes, and
/// runs for leader when there is none.
class membership {
 public:
  membership(node_context& context, std::string peer_address,
             membership_hooks hooks);
  ~membership();

  /// True if this node leads while a live node has at least twice its CPU
  /// allowance.
  bool ShouldStepDown() const;
  /// Removes the leader key after the leadership has ended in this process.
  /// `host_order_age_ms`: time since the term's last order to a host.
  void Resign(millis host_order_age_ms);
  /// Ends the lease and with it all keys of this node, which does not run for
  /// leader again.
  void Leave(std::function<void()> done);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
