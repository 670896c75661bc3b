#include "src/settings/finding_order.h"

#include <algorithm>

namespace radishwing::settings {

void SortFindings(std::vector<finding>& findings) {
  std::stable_sort(
      findings.begin(), findings.end(), [](const finding& a, const finding& b) {
        return a.line != b.line ? a.line < b.line : a.column < b.column;
      });
}

}  // namespace radishwing::settings
