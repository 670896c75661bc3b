#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace radishwing::settings {

/// Kind of a JSON value.
enum class json_kind {
  kNull,
  kBool,
  kInteger,  ///< Number without a fraction or an exponent.
  kDouble,   ///< Number with a fraction or an exponent.
  kString,
  kArray,
  kObject
};

/// Range of byte offsets in a text, from `begin` up to but excluding `end`.
struct text_range {
  std::size_t begin = 0;
  std::size_t end = 0;
};

struct json_member;

/// A JSON value with its source range. Members and elements are in source
/// order; members with duplicate names are kept, so that schema_checker can
/// report them.
struct json_value {
  json_kind kind = json_kind::kNull;
  text_range range;         ///< Range of the value in the source text.
  bool bool_value = false;  ///< Value of a kBool.
  /// Value of a kInteger; the int64 maximum stands for any larger integer.
  std::int64_t integer_value = 0;
  double number_value = 0;           ///< Value of a kInteger or kDouble.
  std::string string_value;          ///< Value of a kString, unescaped.
  std::vector<json_value> elements;  ///< Elements of a kArray.
  std::vector<json_member> members;  ///< Members of a kObject.

  /// Returns the first member called `name`, or null if there is none.
  const json_member* Find(std::string_view name) const;
};

/// A name/value pair of a JSON object.
struct json_member {
  std::string name;
  text_range name_range;  ///< Source range of `name`, with its quotes.
  json_value value;
};

}  // namespace radishwing::settings
