#pragma once

#include <cstdint>

namespace radishwing::quota {

/// Reply of a holder to a recovery. After a settled reply the holder neither
/// lends nor credits until it has adopted a newer epoch, so that the sum of
/// both counts stays constant.
struct token_balance {
  std::uint32_t free = 0;
  std::uint32_t in_use = 0;
  bool settled = false;  ///< False if the holder is in another epoch.
};

}  // namespace radishwing::quota
