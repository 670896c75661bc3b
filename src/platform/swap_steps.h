#pragma once

#include <cstdint>
#include <string>

#include "src/platform/kv_swap.h"
#include "src/platform/resolved_write.h"

namespace radishwing::platform {

/// Steps of a compare-and-swap: its own change id in the record, or in the
/// record of a conflict, proves that it took effect.
resolved_write_steps<swap_outcome> StepsOfSwap(kv_swap swap);

/// Steps of a delete: it took effect if the key is gone.
resolved_write_steps<swap_outcome> StepsOfDelete(std::string key,
                                                 std::uint64_t expect);

}  // namespace radishwing::platform
