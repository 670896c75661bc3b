#pragma once

#include <string>

namespace radishwing {

/// One error in a settings file and its location. Validation collects all
/// findings in the file and reports them together.
struct finding {
  std::string file;     ///< Path of the settings file.
  int line = 0;         ///< 1-based; 0 if the finding has no location.
  int column = 0;       ///< 1-based; 0 if the finding has no location.
  std::string path;     ///< Settings path, such as `teams.uva.share`.
  std::string found;    ///< The offending value or a description of it.
  std::string allowed;  ///< The accepted values, or how to fix the error.
};

/// Formats a finding as one line, without the parts that are empty:
/// `<file>:<line>:<column>: <path>: <found>; allowed: <allowed>`.
std::string FormatFinding(const finding& f);

}  // namespace radishwing
