#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/store/store_item.h"

namespace radishwing::node {

/// A node as the store tells it.
struct member {
  std::string name;
  std::string address;  ///< For messages between nodes.
  millis started_unix_ms = 0;
  int cpu_millis = 0;  ///< Thousandths of a core that it may use.
};

/// The leader of the shard.
struct leader_record {
  std::string node;  ///< Empty if there is none.
  std::string address;
  millis started_unix_ms = 0;
  std::uint64_t fence = 0;  ///< Revision of its key.
};

/// Nodes and the leader, from the keys under kMemberPrefix. Nodes whose key
/// has gone stay known, because they may still be reached while the store
/// cannot be.
class member_table {
 public:
  void Reset(const std::vector<store::store_item>& items);
  void Apply(const store::store_item& item);

  const leader_record& Leader() const { return leader_; }
  /// Live nodes first.
  std::vector<member> Members() const;
  /// How many live nodes come before `self`, those with the most processor
  /// first. `self` need not be among them yet.
  std::size_t Rank(const member& self) const;
  /// True if a live node has at least twice the processor of `self`.
  bool HasMuchLarger(const member& self) const;

 private:
  std::map<std::string, member> live_;
  std::map<std::string, member> gone_;
  leader_record leader_;
};

/// The value of a node's or a leader's key.
std::string EncodeMember(const member& node);

}  // namespace radishwing::node
