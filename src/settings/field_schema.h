#pragma once

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>

namespace radishwing::settings {

/// Type of a settings field. The path pattern of a nested object is the
/// field_schema::parent of the object's fields.
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
  kNameList,     ///< Array of kName strings without duplicates.
  kChoiceList,   ///< Array of strings from `choices` without duplicates.
  kAddressList,  ///< Array of kAddress strings without duplicates.
  kObject,       ///< Object with the path pattern of the field itself, such as
                 ///< `policy`.
  kObjectMap,    ///< Object whose members have arbitrary names and are
                 ///< objects with a path pattern such as `teams.*`.
  kObjectList,   ///< Array of objects with a path pattern such as
                 ///< `teams.*.keys[]`.
};

/// Schema of one settings field. The validation of the field, its default and
/// its row on the reference page docs/settings.md are derived from the schema.
struct field_schema {
  /// Path pattern of the object that contains the field, such as `teams.*`;
  /// empty for the root object.
  std::string_view parent = {};
  std::string_view name = {};
  field_type type = field_type::kString;
  std::string_view unit = {};  ///< Empty if the value has no unit.
  /// Smallest allowed number, or minimum number of elements of an array.
  double minimum = 0;
  /// Largest allowed number; arrays ignore it.
  double maximum = std::numeric_limits<double>::infinity();
  std::string_view choices = {};  ///< Allowed strings, separated by `|`.
  bool required = false;  ///< True if the object must contain the field.
  /// False for fields into which a user may paste a secret by mistake. A
  /// finding about such a field gives the size of the value instead of the
  /// value.
  bool quote_in_findings = true;
  /// Default in JSON syntax, such as `300` or `["long"]`, or `preset` if the
  /// fleet's preset supplies it. Empty if the field has no default.
  std::string_view default_value = {};
  std::string_view doc = {};  ///< Help text on the reference page.
};

/// Returns the schema of the field `name` whose field_schema::parent is
/// `parent`, or null if `schema` has none.
const field_schema* FindField(std::span<const field_schema> schema,
                              std::string_view parent, std::string_view name);

/// Returns a description of the values that `field` allows, for findings and
/// the reference page.
std::string DescribeAllowedValues(const field_schema& field);

/// Returns true if `name` consists of 1 to 64 characters of `[A-Za-z0-9._-]`.
bool IsValidName(std::string_view name);

}  // namespace radishwing::settings
