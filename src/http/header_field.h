#pragma once

#include <span>
#include <string>
#include <string_view>

namespace radishwing::http {

/// A header field of an HTTP request or response.
struct header_field {
  std::string name;
  std::string value;
};

/// Returns the value of the first field named `name` (case-insensitive), or an
/// empty view if there is none.
std::string_view FindHeader(std::span<const header_field> fields,
                            std::string_view name);

}  // namespace radishwing::http
