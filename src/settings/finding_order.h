#pragma once

#include <vector>

#include "src/base/finding.h"

namespace radishwing::settings {

/// Sorts findings by line and column. The sort is stable.
void SortFindings(std::vector<finding>& findings);

}  // namespace radishwing::settings
