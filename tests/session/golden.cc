#include "tests/session/golden.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace radishwing::test {

std::string CompareGolden(std::string_view name, const std::string& text) {
  const std::string path = std::string(RADISHWING_SOURCE_DIR) +
                           "/tests/golden/" + std::string(name) + ".txt";
  const char* rewrite = std::getenv("RADISHWING_REWRITE_GOLDEN");
  if (rewrite != nullptr && std::string_view(rewrite) == "1") {
    std::ofstream(path) << text;
    return {};
  }
  std::ifstream file(path);
  if (!file) return "cannot read " + path;
  std::istringstream actual(text);
  std::string expected_line;
  std::string actual_line;
  for (int line = 1;; ++line) {
    const bool more_expected = bool{std::getline(file, expected_line)};
    const bool more_actual = bool{std::getline(actual, actual_line)};
    if (!more_expected && !more_actual) return {};
    if (more_expected == more_actual && expected_line == actual_line) continue;
    return path + ":" + std::to_string(line) + ": expected \"" +
           (more_expected ? expected_line : "<end>") + "\", got \"" +
           (more_actual ? actual_line : "<end>") + '"';
  }
}

}  // namespace radishwing::test
