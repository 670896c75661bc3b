#pragma once

#include <string_view>

namespace radishwing {

/// Names the calling thread for debuggers and `top`. At most 15 characters
/// are kept.
void NameThread(std::string_view name);

}  // namespace radishwing
