#pragma once

#include <string>

#include "src/base/result.h"

namespace radishwing::settings {

/// Reads a file of at most `limit` bytes. Fails if the file is larger.
result<std::string> ReadTextFile(const std::string& file, std::size_t limit);

}  // namespace radishwing::settings
