#pragma once

#include <span>
#include <string>
#include <string_view>

namespace radishwing::settings {

/// Returns the first of the `known` names with the smallest edit distance to
/// `name`. Returns an empty string if `name` is longer than 64 bytes or if
/// every distance exceeds max(2, name.size() / 3). If `name` has at least 3
/// bytes and one name is a prefix of the other, their distance is 1. Known
/// names longer than 64 bytes are ignored.
std::string FindNearestName(std::string_view name,
                            std::span<const std::string> known);

}  // namespace radishwing::settings
