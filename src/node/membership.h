#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "src/node/election.h"
#include "src/node/node_context.h"

namespace radishwing::node {

/// What a membership tells.
struct membership_hooks {
  /// This node leads now.
  std::function<void(const election& won)> elected;
  /// The node's lease was renewed by a call sent at `sent_at`.
  std::function<void(millis sent_at)> renewed;
  /// Another node leads, or the own key has gone.
  std::function<void()> deposed;
};

/// Keeps this node's keys in the store under a lease, follows those of the
/// others, and stands for leader when there is none.
class membership {
 public:
  membership(node_context& context, std::string peer_address,
             membership_hooks hooks);
  ~membership();

  /// True if this node leads although a much larger one is live.
  bool ShouldYield() const;
  /// The leadership has ended here; the key is given back.
  /// `host_order_age_ms`: time since the term's last order to a host.
  void Resign(millis host_order_age_ms);
  /// Gives back all keys. The node stands no more.
  void Leave(std::function<void()> done);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
