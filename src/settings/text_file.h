#pragma once

#include <string>

#include "src/base/result.h"

namespace radishwing::settings {

/// Returns the contents of a file. Fails with kNotFound if it cannot be read
/// and with kInvalid if it has more than `limit` bytes.
result<std::string> ReadTextFile(const std::string& file, std::size_t limit);

}  // namespace radishwing::settings
