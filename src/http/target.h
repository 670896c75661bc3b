#pragma once

#include <map>
#include <string>
#include <string_view>

#include "src/base/result.h"

namespace radishwing::http {

/// A request target taken apart, percent escapes decoded.
struct target {
  std::string path;
  std::map<std::string, std::string, std::less<>> query;

  /// The query parameter `name`, or an empty view.
  std::string_view Param(std::string_view name) const;
};

/// Fails with kInvalid if `text` is not a path with an optional query.
result<target> ParseTarget(std::string_view text);

/// Escapes a path; slashes stay as they are.
std::string EscapePath(std::string_view text);

/// Escapes a query value.
std::string EscapeQuery(std::string_view text);

}  // namespace radishwing::http
