#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/settings/field_schema.h"
#include "src/settings/json_value.h"

namespace radishwing::settings {

/// Reads the fields of one JSON object. The getters return the schema's default
/// for a field that is absent or of the wrong type; schema_checker reports
/// wrong types.
class field_reader {
 public:
  /// Reads the fields of `object`. In `schema`, the field_schema::parent of
  /// these fields is `path_pattern`. If `object` is null, every field has its
  /// default. `object` and `schema` must outlive the reader.
  field_reader(const json_value* object, std::span<const field_schema> schema,
               std::string_view path_pattern)
      : object_(object), schema_(schema), path_pattern_(path_pattern) {}

  std::string GetString(std::string_view name) const;
  bool GetBool(std::string_view name) const;
  std::int64_t GetInt(std::string_view name) const;
  double GetDouble(std::string_view name) const;
  std::vector<std::string> GetStringList(std::string_view name) const;

  /// Returns the value of the member `name`, or null if it is absent.
  const json_value* Find(std::string_view name) const;

 private:
  /// Returns the default of the field `name` in JSON syntax.
  std::string_view GetDefault(std::string_view name) const;

  const json_value* object_;  ///< Null if the object is absent.
  std::span<const field_schema> schema_;
  std::string_view path_pattern_;
};

}  // namespace radishwing::settings
