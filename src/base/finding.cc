#include "src/base/finding.h"

namespace radishwing {

std::string FormatFinding(const finding& f) {
  std::string text = f.file;
  if (f.line > 0) {
    text += ':' + std::to_string(f.line) + ':' + std::to_string(f.column);
  }
  if (!f.path.empty()) text += ": " + f.path;
  text += ": " + f.found;
  if (!f.allowed.empty()) text += "; allowed: " + f.allowed;
  return text;
}

}  // namespace radishwing
