#pragma once

#include <string>
#include <string_view>

namespace radishwing::test {

/// Compares `text` with tests/golden/<name>.txt. Returns an empty text, or the
/// first line that differs. With RADISHWING_REWRITE_GOLDEN=1 in the environment
/// the file is rewritten instead.
std::string CompareGolden(std::string_view name, const std::string& text);

}  // namespace radishwing::test
