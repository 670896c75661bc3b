#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "src/base/result.h"
#include "src/platform/host_info.h"

namespace radishwing::platform {

/// The platform's hosts and their maintenance. Threads and failures as in
/// kv_store; kNotFound: no such host, kConflict: its state does not allow the
/// call. A lost answer is resolved by reading the host's state back.
class host_client {
 public:
  template <typename T>
  using completion = std::function<void(result<T>)>;

  virtual ~host_client() = default;

  virtual void List(completion<std::vector<host_info>> completion) = 0;
  virtual void Drain(std::string_view host, completion<done> completion) = 0;
  virtual void Undrain(std::string_view host, completion<done> completion) = 0;
  /// Restarts the host at once, whatever runs on it. kTimeout if the answer
  /// was lost and the host is not seen rebooting: it is not sent again, since
  /// the reboot may be over.
  virtual void Reboot(std::string_view host, completion<done> completion) = 0;
};

}  // namespace radishwing::platform
