#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace radishwing::settings {

/// Kinds of value in a settings text.
enum class json_kind {
  kNull,
  kBool,
  kInteger,
  kDouble,
  kString,
  kArray,
  kObject
};

/// Part of a text, in bytes: `begin` is included, `end` is not.
struct text_range {
  std::size_t begin = 0;
  std::size_t end = 0;
};

struct json_member;

/// A JSON value with its source range. Members and elements keep their source
/// order; members with duplicate names are kept for the checker to report.
struct json_value {
  json_kind kind = json_kind::kNull;
  text_range range;
  bool bool_value = false;
  /// Saturated at the int64 maximum; `number_value` is not.
  std::int64_t integer_value = 0;
  double number_value = 0;  ///< Set for kInteger as well.
  std::string string_value;
  std::vector<json_value> elements;
  std::vector<json_member> members;

  /// The first member called `name`, or null.
  const json_member* Find(std::string_view name) const;
};

/// A name/value pair of a JSON object.
struct json_member {
  std::string name;
  text_range name_range;  ///< Includes the quotes.
  json_value value;
};

}  // namespace radishwing::settings
