#pragma once

#include <string>

namespace radishwing::control {

/// A drain that a plan wants. The ledger may still refuse it.
struct planned_drain {
  std::string host;
  std::string reason;
  std::string next_pool;  ///< Empty: it returns to its pool.
};

}  // namespace radishwing::control
