#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/base/finding.h"
#include "src/settings/line_index.h"
#include "src/settings/node.h"

namespace radishwing::settings {

/// Either a value or every finding that prevented it.
template <typename T>
using checked = std::variant<T, std::vector<finding>>;

/// Largest settings text, in bytes. The store keeps values of at most 1 MB.
inline constexpr std::size_t kMaxTextBytes = 1'000'000;

/// Deepest nesting of branches and lists. The schema itself needs 5 levels.
inline constexpr std::size_t kMaxDepth = 16;

/// A parsed JSON-with-comments text that keeps the place of every value.
struct source_tree {
  std::string file;  ///< Name shown in findings.
  std::string text;
  line_index lines;
  node root;

  /// A finding at the byte `offset`.
  finding FindingAt(std::size_t offset, std::string path, std::string found,
                    std::string allowed) const;
};

/// Parses `text`. Accepts RFC 8259 JSON with // and /* */ comments. A text
/// that is too large, too deep or not well-formed gives one finding, at the
/// place where parsing stopped. Findings never quote values.
checked<source_tree> ParseTree(std::string file, std::string_view text);

/// Path of member `name` under `path`, such as `teams.uva`.
std::string JoinPath(std::string_view path, std::string_view name);

}  // namespace radishwing::settings
