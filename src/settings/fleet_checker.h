#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/finding.h"
#include "src/settings/source_tree.h"

namespace radishwing::settings {

/// Checks what the schema cannot express: references between branches, sums
/// and combinations of values. Values of a wrong type are left to the
/// schema_checker.
class fleet_checker {
 public:
  /// Keeps a reference to `tree`.
  explicit fleet_checker(const source_tree& tree) : tree_(tree) {}

  std::vector<finding> Check();

 private:
  void CheckShares();
  void CheckKeys();
  void CheckTeamKeys(const node_member& team);
  void CheckFloor(const node_member& pool);
  void CheckSpare();
  void CheckService(const node_member& service);
  void CheckReference(const node& value, std::string_view branch,
                      const std::string& path);
  void CheckReferences(const node& owner, std::string_view field,
                       std::string_view branch, const std::string& path);
  std::span<const node_member> Members(std::string_view branch) const;
  void Report(const node& value, const std::string& path, std::string found,
              std::string allowed);

  const source_tree& tree_;
  /// Team and key that first used a hash.
  std::map<std::string, std::string> key_hashes_;
  std::vector<finding> findings_;
};

}  // namespace radishwing::settings
