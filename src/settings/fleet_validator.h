#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/finding.h"
#include "src/settings/json_document.h"

namespace radishwing::settings {

/// Validates the constraints that the schema cannot express: references between
/// objects, sums, and combinations of values. Ignores values of the wrong type,
/// which schema_validator reports.
class fleet_validator {
 public:
  /// `document` must outlive the validator.
  explicit fleet_validator(const json_document& document)
      : document_(document) {}

  std::vector<finding> Validate();

 private:
  void ValidateShares();
  void ValidateKeys();
  void ValidateTeamKeys(const json_member& team);
  void ValidateFloorHosts(const json_member& pool);
  void ValidateSparePool();
  void ValidateService(const json_member& service);
  void ValidateReference(const json_value& value, std::string_view section,
                         const std::string& path);
  void ValidateReferences(const json_value& owner, std::string_view field,
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
