#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/finding.h"
#include "src/settings/field_schema.h"
#include "src/settings/source_tree.h"

namespace radishwing::settings {

/// Checks a tree against a schema: unknown, repeated and missing names, types
/// and ranges. Collects every finding, in the order of the text.
class schema_checker {
 public:
  /// Keeps references to both arguments.
  schema_checker(const source_tree& tree, std::span<const field_schema> schema)
      : tree_(tree), schema_(schema) {}

  std::vector<finding> Check();

 private:
  void CheckBranch(const node& branch, std::string_view pattern,
                   const std::string& path);
  void CheckNames(const node& branch, const std::string& path);
  void CheckRequired(const node& branch, std::string_view pattern,
                     const std::string& path);
  void CheckNamed(const node& branch, std::string_view pattern,
                  const std::string& path);
  void CheckField(const node& value, const field_schema& field,
                  const std::string& path);
  void CheckNumber(const node& value, const field_schema& field,
                   const std::string& path);
  void CheckText(const node& value, const field_schema& field,
                 const std::string& path);
  void CheckList(const node& value, const field_schema& field,
                 const std::string& path);
  void ReportUnknown(const node_member& member, std::string_view pattern,
                     const std::string& path);
  void ReportValue(const node& value, const field_schema& field,
                   const std::string& path);

  const source_tree& tree_;
  std::span<const field_schema> schema_;
  std::vector<finding> findings_;
};

/// How a finding names a value of `field`: as it stands in the text, cut if it
/// is long. Values of a field that may not be quoted are only described.
std::string DescribeFound(const source_tree& tree, const node& value,
                          const field_schema& field);

/// True if `text` is "ip:port" with a numeric address and a port up to 65535.
bool IsAddress(std::string_view text);

}  // namespace radishwing::settings
