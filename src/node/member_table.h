#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/store/store_item.h"

namespace radishwing::node {

/// A node as registered in the store.
struct member {
  std::string name;
  std::string address;  ///< Address for calls from other nodes.
  millis started_unix_ms = 0;
  int cpu_millis = 0;  ///< CPU allowance in thousandths of a core.
};

/// The current leader of the shard.
struct leader_record {
  std::string node;  ///< Empty if there is no leader.
  std::string address;
  millis started_unix_ms = 0;
  std::uint64_t fence = 0;  ///< Revision of the shard's key.
};

/// The nodes and the leader, read from the keys under kMemberPrefix. Nodes
/// whose key was removed are remembered, because they may still be reachable
/// while the store is not.
class member_table {
 public:
  void Reset(const std::vector<store::store_item>& items);
  void Apply(const store::store_item& item);

  const leader_record& Leader() const { return leader_; }
  /// Live nodes first.
  std::vector<member> Members() const;
  /// Number of live nodes that precede `self` when sorted by descending CPU
  /// allowance, then by name. `self` need not be registered yet.
  std::size_t Rank(const member& self) const;
  /// True if a live node has at least twice the CPU allowance of `self`.
  bool HasMuchLargerNode(const member& self) const;

 private:
  std::map<std::string, member> live_;
  std::map<std::string, member> departed_;
  leader_record leader_;
};

/// Encodes the value of a node's key or of the shard's key.
std::string EncodeMember(const member& node);

}  // namespace radishwing::node
