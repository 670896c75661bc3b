#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/finding.h"
#include "src/settings/field_schema.h"
#include "src/settings/json_document.h"

namespace radishwing::settings {

/// Checks a document against a schema: unknown, duplicate and missing names,
/// types and ranges. Collects all findings, sorted by position.
class schema_checker {
 public:
  /// Both arguments must outlive the checker.
  schema_checker(const json_document& document,
                 std::span<const field_schema> schema)
      : document_(document), schema_(schema) {}

  std::vector<finding> Check();

 private:
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

/// Returns the text by which a finding refers to a value of `field`: its source
/// text, truncated to 64 bytes. For arrays, objects and fields without
/// `echo_value`, returns a description instead.
std::string DescribeValue(const json_document& document,
                          const json_value& value, const field_schema& field);

/// Returns true if `text` is "ip:port" with a numeric address and a port up to
/// 65535.
bool IsAddress(std::string_view text);

}  // namespace radishwing::settings
