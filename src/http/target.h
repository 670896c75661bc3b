#pragma once

#include <map>
#include <string>
#include <string_view>

#include "src/base/result.h"

namespace radishwing::http {

/// The path and the query of an HTTP request, with percent-encoding decoded.
struct target {
  std::string path;
  std::map<std::string, std::string, std::less<>> query;

  /// Returns the value of the query parameter `name`, or an empty view if there
  /// is none.
  std::string_view QueryParameter(std::string_view name) const;
};

/// Parses a request target. Fails with kInvalid if `text` is not a path with an
/// optional query.
result<target> ParseTarget(std::string_view text);

/// Percent-encodes a path except for its slashes.
std::string PercentEncodePath(std::string_view text);

/// Percent-encodes a query parameter value.
std::string PercentEncodeQueryValue(std::string_view text);

}  // namespace radishwing::http
