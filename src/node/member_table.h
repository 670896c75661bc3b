#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/store/store_item.h"

namespace radishwing::node {

/// A node of the cluster, as registered in the store.
struct member {
  std::string name;
  std::string address;  ///< "ip:port" for calls from other nodes.
  /// Start time of the node's process; distinguishes it from earlier processes
  /// of the same node.
  millis started_unix_ms = 0;
  int cpu_millicores = 0;  ///< CPU allowance in thousandths of a core.
};

/// The current leader of the shard, as registered in the store.
struct leader_record {
  std::string node;     ///< Name of the node; empty if there is no leader.
  std::string address;  ///< "ip:port" for calls from other nodes.
  millis started_unix_ms = 0;  ///< Start time of the leader's process.
  /// Fencing token of the leader's term: the revision of ShardKey().
  std::uint64_t fencing_token = 0;
};

/// The registered nodes and the shard's leader, read from the keys under
/// kMemberPrefix. Also keeps nodes whose key was removed, because they may
/// still be able to relay calls if this node cannot reach the store.
class member_table {
 public:
  /// Replaces the registered nodes and the leader. `items`: all items under
  /// kMemberPrefix.
  void Reset(const std::vector<store::store_item>& items);
  /// Applies a change of one key; revision 0 means that it was removed.
  void Apply(const store::store_item& item);

  const leader_record& Leader() const { return leader_; }
  /// Returns the registered nodes, followed by the nodes whose key was removed.
  std::vector<member> Members() const;
  /// Returns the number of registered nodes that precede `self` when sorted by
  /// descending CPU allowance, then by name. `self` may be unregistered.
  std::size_t Rank(const member& self) const;
  /// Returns true if a registered node has at least twice the CPU allowance of
  /// `self`.
  bool HasMuchLargerNode(const member& self) const;

 private:
  std::map<std::string, member> registered_;  ///< Keyed by node name.
  /// Nodes whose key was removed, keyed by node name.
  std::map<std::string, member> removed_;
  leader_record leader_;
};

/// Encodes the value of NodeKey() or ShardKey().
std::string EncodeMember(const member& node);

}  // namespace radishwing::node
