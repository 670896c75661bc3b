#pragma once

#include <string>

#include "src/settings/text_file.h"

namespace radishwing::settings {

/// Returns the contents of a file of the source tree, such as
/// `tests/golden/x.json`. Returns an empty string if the file is missing, so
/// that the comparison fails.
inline std::string ReadSourceFile(const std::string& name) {
  result<std::string> text =
      ReadTextFile(std::string(RADISHWING_SOURCE_DIR) + "/" + name, 1 << 20);
  return Ok(text) ? Value(std::move(text)) : std::string();
}

}  // namespace radishwing::settings
