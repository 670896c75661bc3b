#pragma once

#include <span>
#include <string>
#include <string_view>

namespace radishwing::settings {

/// Returns the first of the `known` names with the smallest edit distance to
/// `name`, or an empty string if every distance exceeds max(2, name.size() / 3)
/// or `name` is longer than 64 bytes. The distance is 1 if `name` has at least
/// 3 bytes and one name is a prefix of the other; known names longer than 64
/// bytes are ignored.
std::string FindNearestName(std::string_view name,
                            std::span<const std::string> known);

}  // namespace radishwing::settings
