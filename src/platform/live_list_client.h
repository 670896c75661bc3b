#pragma once

#include <functional>

#include "src/base/result.h"
#include "src/platform/live_list.h"

namespace radishwing::platform {

/// The platform's delayed list of live and leaving hosts. Threads and failures
/// as in kv_store.
class live_list_client {
 public:
  virtual ~live_list_client() = default;
  virtual void Get(std::function<void(result<live_list>)> completion) = 0;
};

}  // namespace radishwing::platform
