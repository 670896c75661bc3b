#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/finding.h"
#include "src/settings/json_document.h"

namespace radishwing::settings {

/// Validates the constraints on fleet settings that the schema cannot express:
/// references between objects, sums, and combinations of values. Ignores values
/// of the wrong type, which schema_checker reports.
class fleet_checker {
 public:
  /// `document` must outlive the checker.
  explicit fleet_checker(const json_document& document) : document_(document) {}

  /// Returns one finding per violation, in no particular order. Call it once.
  std::vector<finding> CollectFindings();

 private:
  void CheckShareSum();
  void CheckTeams();
  void CheckTeam(const json_member& team);
  void CheckFloorHosts(const json_member& pool);
  void CheckSparePool();
  void CheckService(const json_member& service);
  /// Adds a finding unless the string `value` is the name of a member of the
  /// top-level object `section`.
  void CheckReference(const json_value& value, std::string_view section,
                      const std::string& path);
  /// Calls CheckReference() for each string of the array `field` of `owner`.
  void CheckReferences(const json_value& owner, std::string_view field,
                       std::string_view section, const std::string& path);
  /// Returns the members of the top-level object `section`.
  std::span<const json_member> FindMembers(std::string_view section) const;
  /// Adds a finding located at the start of `value`.
  void AddFinding(const json_value& value, const std::string& path,
                  std::string found, std::string allowed);

  const json_document& document_;
  /// Maps the hash of each API key to the settings path where it occurs first.
  std::map<std::string, std::string> key_hashes_;
  std::vector<finding> findings_;
};

}  // namespace radishwing::settings
