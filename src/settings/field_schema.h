#pragma once

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>

namespace radishwing::settings {

/// Kinds of value that a field may hold.
enum class field_type {
  kText,       ///< Any text.
  kName,       ///< 1 to 64 characters of `[A-Za-z0-9._-]`.
  kHash,       ///< SHA-256: 64 lower-case hexadecimal digits.
  kAddress,    ///< "ip:port" with a numeric IP address.
  kPath,       ///< Path of a file; not empty.
  kFlag,       ///< true or false.
  kCount,      ///< Whole number between `minimum` and `maximum`.
  kNumber,     ///< Number between `minimum` and `maximum`.
  kChoice,     ///< One of `choices`.
  kNames,      ///< List of names without repetition.
  kChoices,    ///< List of `choices` without repetition.
  kAddresses,  ///< List of addresses without repetition.
  kBranch,     ///< Branch with the fields of `<path>`.
  kNamed,      ///< Branches by name, each with the fields of `<path>.*`.
  kItems,      ///< List of branches, each with the fields of `<path>[]`.
};

/// One row of a schema: one name that a settings text may contain. The rows
/// drive the checker, the defaults and the page docs/settings.md.
struct field_schema {
  std::string_view branch = {};  ///< Pattern of the branch, such as `teams.*`.
  std::string_view name = {};
  field_type type = field_type::kText;
  std::string_view unit = {};  ///< Empty if the value has none.
  double minimum = 0;          ///< For a list: fewest items.
  double maximum = std::numeric_limits<double>::infinity();
  std::string_view choices = {};  ///< Separated by `|`.
  bool required = false;
  /// False where a secret may have been pasted: findings then describe the
  /// value without quoting it.
  bool quoted = true;
  /// As it would stand in the text, such as `300` or `["long"]`; empty if the
  /// field has none.
  std::string_view default_value = {};
  std::string_view doc = {};
};

/// The row for `name` in `branch`, or null.
const field_schema* FindField(std::span<const field_schema> schema,
                              std::string_view branch, std::string_view name);

/// What the field allows, for findings and the page.
std::string DescribeAllowed(const field_schema& field);

/// True if `name` consists of 1 to 64 characters of `[A-Za-z0-9._-]`.
bool IsName(std::string_view name);

}  // namespace radishwing::settings
