#pragma once

#include <string>
#include <string_view>

namespace radishwing::ctl {

/// Differences between two texts by lines, in the unified format with two
/// lines of context. Empty if they are equal.
std::string UnifiedDiff(std::string_view old_text, std::string_view new_text,
                        std::string_view old_label, std::string_view new_label);

}  // namespace radishwing::ctl
