#pragma once

#include <span>
#include <string>
#include <string_view>

namespace radishwing::settings {

/// The known name nearest to `name` by edit distance, or empty if none is
/// within a third of its length (at least 2 edits). A name that continues or
/// shortens another one is one edit away. The first one wins a tie.
std::string NearestName(std::string_view name,
                        std::span<const std::string> known);

}  // namespace radishwing::settings
