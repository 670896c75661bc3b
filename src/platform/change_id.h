#pragma once

#include <string>
#include <string_view>

namespace radishwing::platform {

/// A change id that no other change has.
std::string NewChangeId();

/// The top-level string member "change_id" of a JSON object, or empty.
std::string ChangeIdOf(std::string_view value);

}  // namespace radishwing::platform
