#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace radishwing::settings {

/// Type of a JSON value.
enum class json_kind {
  kNull,
  kBool,
  kInteger,
  kDouble,
  kString,
  kArray,
  kObject
};

/// Half-open byte range [begin, end) in the source text.
struct source_range {
  std::size_t begin = 0;
  std::size_t end = 0;
};

struct json_member;

/// A JSON value with its source range. Members and elements keep their source
/// order; members with duplicate names are kept for the validator to report.
struct json_value {
  json_kind kind = json_kind::kNull;
  source_range range;
  bool boolean = false;
  std::int64_t integer = 0;  ///< Saturated at the int64 maximum; see `number`.
  double number = 0;         ///< Set for kInteger as well.
  std::string string;
  std::vector<json_value> elements;
  std::vector<json_member> members;

  /// Returns the first member called `name`, or null.
  const json_member* Find(std::string_view name) const;
};

/// A name/value pair of a JSON object.
struct json_member {
  std::string name;
  source_range name_range;  ///< Includes the quotes.
  json_value value;
};

}  // namespace radishwing::settings
