#pragma once

#include <string>

#include "src/base/result.h"

namespace radishwing::settings {

/// Returns the contents of a file. Fails with kNotFound if the file cannot be
/// read, and with kInvalid if the file has more than `limit` bytes.
result<std::string> ReadTextFile(const std::string& file, std::size_t limit);

}  // namespace radishwing::settings
