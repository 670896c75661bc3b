#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/finding.h"
#include "src/settings/field_schema.h"
#include "src/settings/json_document.h"

namespace radishwing::settings {

/// Validates a document against a schema: finds unknown, duplicate and missing
/// names, wrong types, and values that the schema does not allow.
class schema_checker {
 public:
  /// Both arguments must outlive the checker.
  schema_checker(const json_document& document,
                 std::span<const field_schema> schema)
      : document_(document), schema_(schema) {}

  /// Returns one finding per violation, sorted by position. Call it once.
  std::vector<finding> CollectFindings();

 private:
  // `path` is the settings path shown in findings, such as `teams.uva`;
  // `path_pattern` is the field_schema::parent of an object's fields, such as
  // `teams.*`.
  void CheckObject(const json_value& object, std::string_view path_pattern,
                   const std::string& path);
  void CheckUniqueNames(const json_value& object, const std::string& path);
  void CheckRequiredFields(const json_value& object,
                           std::string_view path_pattern,
                           const std::string& path);
  void CheckObjectMap(const json_value& object, std::string_view path_pattern,
                      const std::string& path);
  void CheckField(const json_value& value, const field_schema& field,
                  const std::string& path);
  void CheckNumber(const json_value& value, const field_schema& field,
                   const std::string& path);
  void CheckString(const json_value& value, const field_schema& field,
                   const std::string& path);
  void CheckArray(const json_value& value, const field_schema& field,
                  const std::string& path);
  void ReportUnknownName(const json_member& member,
                         std::string_view path_pattern,
                         const std::string& path);
  void ReportInvalidValue(const json_value& value, const field_schema& field,
                          const std::string& path);

  const json_document& document_;
  std::span<const field_schema> schema_;
  std::vector<finding> findings_;
};

/// Returns the text that a finding shows for a value of `field`: the first 64
/// bytes of its source text. For an array, an object, or a field whose values
/// must not be quoted, returns a description instead.
std::string DescribeValue(const json_document& document,
                          const json_value& value, const field_schema& field);

/// Returns true if `text` is "ip:port" with a numeric IP address and a port of
/// at most 65535.
bool IsValidAddress(std::string_view text);

}  // namespace radishwing::settings
