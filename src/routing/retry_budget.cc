#include "src/routing/retry_budget.h"

#include <algorithm>

namespace radishwing::routing {

void retry_budget::Success() {
  available_ =
      std::min(available_ + ratio_, kStartAllowance + ratio_ * kSavedSuccesses);
}

bool retry_budget::TryRetry() {
  if (available_ < 1) return false;
  available_ -= 1;
  return true;
}

}  // namespace radishwing::routing
