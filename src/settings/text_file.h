#pragma once

#include <string>

#include "src/base/result.h"

namespace radishwing::settings {

/// Reads a whole file of at most `limit` bytes. A larger file is an error.
result<std::string> ReadTextFile(const std::string& file, std::size_t limit);

}  // namespace radishwing::settings
