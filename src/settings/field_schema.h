#pragma once

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>

namespace radishwing::settings {

/// Type of a settings field.
enum class field_type {
  kString,       ///< Any string.
  kName,         ///< 1 to 64 characters of `[A-Za-z0-9._-]`.
  kSha256,       ///< SHA-256 as 64 lower-case hexadecimal digits.
  kAddress,      ///< "ip:port" with a numeric IP address.
  kPath,         ///< File path; not empty.
  kBool,         ///< true or false.
  kInt,          ///< Integer between `minimum` and `maximum`.
  kNumber,       ///< Number between `minimum` and `maximum`.
  kChoice,       ///< One of `choices`.
  kNameList,     ///< Array of unique names.
  kChoiceList,   ///< Array of unique `choices`.
  kAddressList,  ///< Array of unique addresses.
  kObject,       ///< Object with the fields of `<path>`.
  kObjectMap,    ///< Object whose members are objects with arbitrary
                 ///< names and the fields of `<path>.*`.
  kObjectList,   ///< Array of objects with the fields of `<path>[]`.
};

/// Schema of one settings field. The checker, the defaults and the reference
/// page docs/settings.md are all derived from it.
struct field_schema {
  /// Path pattern of the containing object, such as `teams.*`; empty for the
  /// root.
  std::string_view parent = {};
  std::string_view name = {};
  field_type type = field_type::kString;
  std::string_view unit = {};  ///< Empty if the value has no unit.
  double minimum = 0;          ///< For an array: minimum size.
  double maximum = std::numeric_limits<double>::infinity();
  std::string_view choices = {};  ///< Separated by `|`.
  bool required = false;
  /// False for fields into which a secret may be pasted by mistake: findings
  /// then give the size of the value instead of quoting it.
  bool echo_value = true;
  /// Default in JSON syntax, such as `300` or `["long"]`, or `preset` if the
  /// preset defines it. Empty if the field has no default.
  std::string_view default_value = {};
  std::string_view doc = {};
};

/// Returns the field `name` of the objects that match the path pattern
/// `parent`, or null.
const field_schema* FindField(std::span<const field_schema> schema,
                              std::string_view parent, std::string_view name);

/// Describes the allowed values of a field, for findings and the reference
/// page.
std::string DescribeAllowed(const field_schema& field);

/// Returns true if `name` consists of 1 to 64 characters of `[A-Za-z0-9._-]`.
bool IsValidName(std::string_view name);

}  // namespace radishwing::settings
