#pragma once

#include <vector>

#include "src/base/finding.h"

namespace radishwing::settings {

/// Sorts findings by line and column; findings at the same position keep their
/// order.
void SortFindings(std::vector<finding>& findings);

}  // namespace radishwing::settings
