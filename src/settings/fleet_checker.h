#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/finding.h"
#include "src/settings/json_document.h"

namespace radishwing::settings {

/// Checks the constraints that the schema cannot express: references between
/// objects, sums, and combinations of values. Ignores values of the wrong type,
/// which schema_checker reports.
class fleet_checker {
 public:
  /// `document` must outlive the checker.
  explicit fleet_checker(const json_document& document) : document_(document) {}

  std::vector<finding> Check();

 private:
  void CheckShares();
  void CheckKeys();
  void CheckTeamKeys(const json_member& team);
  void CheckFloorHosts(const json_member& pool);
  void CheckSparePool();
  void CheckService(const json_member& service);
  void CheckReference(const json_value& value, std::string_view section,
                      const std::string& path);
  void CheckReferences(const json_value& owner, std::string_view field,
                       std::string_view section, const std::string& path);
  std::span<const json_member> Members(std::string_view section) const;
  void Report(const json_value& value, const std::string& path,
              std::string found, std::string allowed);

  const json_document& document_;
  /// Maps each key hash to the path of its first occurrence.
  std::map<std::string, std::string> key_hashes_;
  std::vector<finding> findings_;
};

}  // namespace radishwing::settings
