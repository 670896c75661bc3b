#pragma once

#include <span>
#include <string>
#include <string_view>

namespace radishwing::settings {

/// Returns the known name with the smallest edit distance to `name`, or an
/// empty string if every distance exceeds max(2, name.size() / 3). If `name`
/// has at least 3 characters and either name is a prefix of the other, the
/// distance is
/// 1. The first name wins a tie. Names longer than 64 bytes are ignored.
std::string NearestName(std::string_view name,
                        std::span<const std::string> known);

}  // namespace radishwing::settings
