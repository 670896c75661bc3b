#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/base/finding.h"
#include "src/settings/json_value.h"
#include "src/settings/line_index.h"

namespace radishwing::settings {

/// Result of parsing a settings file: the parsed value, or the findings if the
/// file is invalid.
template <typename T>
using parse_result = std::variant<T, std::vector<finding>>;

/// Maximum size of a settings file in bytes. The store that holds the settings
/// limits each value to 1 MB.
inline constexpr std::size_t kMaxTextBytes = 1'000'000;

/// Maximum nesting depth of objects and arrays in a settings file. The schema
/// needs 5 levels; the limit bounds the recursion on malformed files.
inline constexpr std::size_t kMaxDepth = 16;

/// A parsed JSON document, which may contain comments, with the source range of
/// every value.
struct json_document {
  std::string file;  ///< File name shown in findings.
  std::string text;  ///< Source text, to which all offsets refer.
  line_index lines;  ///< Converts offsets in `text` to lines and columns.
  json_value root;   ///< Outermost value, normally an object.

  /// Returns a finding located at the byte `offset` of `text`, with the given
  /// `path`, `found` and `allowed`.
  finding MakeFindingAt(std::size_t offset, std::string path, std::string found,
                        std::string allowed) const;
};

/// Parses RFC 8259 JSON with // and /* */ comments. Returns a single finding if
/// `text` exceeds kMaxTextBytes or kMaxDepth or is malformed. A syntax error is
/// located where parsing stopped. The finding never quotes a value.
parse_result<json_document> ParseJsonDocument(std::string file,
                                              std::string_view text);

/// Returns the settings path of the member `name` of the object at `path`, such
/// as `teams.uva`.
std::string JoinPath(std::string_view path, std::string_view name);

}  // namespace radishwing::settings
