#pragma once

#include <string>

namespace radishwing {

/// One mistake in a settings text, with its place. Checks collect findings and
/// report them together.
struct finding {
  std::string file;
  int line = 0;         ///< 1-based; 0 if the finding has no place in the text.
  int column = 0;       ///< 1-based.
  std::string path;     ///< Settings path, such as `teams.uva.share`.
  std::string found;    ///< What the text says.
  std::string allowed;  ///< What it may say, or what to do.
};

/// One line for people: `file:line:column: path: found …; allowed: …`.
std::string FormatFinding(const finding& f);

}  // namespace radishwing
