#pragma once

#include <string>

#include "src/settings/text_file.h"

namespace radishwing::settings {

/// Text of a file of the source tree, such as `tests/golden/x.json`. A
/// missing file reads as empty, so that the comparison fails.
inline std::string ReadSourceFile(const std::string& name) {
  result<std::string> text =
      ReadTextFile(std::string(RADISHWING_SOURCE_DIR) + "/" + name, 1 << 20);
  return Ok(text) ? Value(std::move(text)) : std::string();
}

}  // namespace radishwing::settings
