#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/platform/kv_item.h"
#include "src/platform/kv_swap.h"

namespace radishwing::platform {

/// The platform's key-value store. Every method returns at once and is called
/// on the thread that runs the io_context; completions run there later.
///
/// Failures: kNotFound; kUnavailable, the store refused the call or was not
/// reached, nothing was done; kTimeout and kInternal, the effect is unknown.
/// Each call counts against the platform's limits, a pending watch as one.
class kv_store {
 public:
  template <typename T>
  using completion = std::function<void(result<T>)>;

  virtual ~kv_store() = default;

  /// Fails with kNotFound if the key does not exist.
  virtual void Read(std::string_view key, completion<kv_item> completion) = 0;

  virtual void ReadPrefix(std::string_view prefix,
                          completion<kv_page> completion) = 0;

  /// Waits up to `wait_ms` (at most 30,000) for changes under `prefix` after
  /// revision `after`. An empty page means that there were none. Fails with
  /// kNotFound if the store has forgotten changes since `after`: the prefix
  /// must be read again. A wait on a silent
  /// connection fails with kTimeout shortly after `wait_ms`.
  virtual void Watch(std::string_view prefix, std::uint64_t after,
                     millis wait_ms, completion<kv_page> completion) = 0;

  /// Compare-and-swap. A lost answer is resolved by reading the record back,
  /// so kUnknown is reported only if the store stays out of reach, or if
  /// another write came on top.
  virtual void Swap(kv_swap swap,
                    std::function<void(swap_outcome)> completion) = 0;

  /// Deletes the key if it has version `expect`. A key that is already gone
  /// counts as done.
  virtual void Delete(std::string_view key, std::uint64_t expect,
                      std::function<void(swap_outcome)> completion) = 0;

  /// Grants a lease; the value is its identifier. A lease whose grant was lost
  /// expires unused.
  virtual void GrantLease(millis ttl_ms,
                          completion<std::string> completion) = 0;

  /// Fails with kNotFound if the lease has expired.
  virtual void RenewLease(std::string_view lease,
                          completion<done> completion) = 0;

  /// Ends the lease and deletes its keys. Done if it has already expired.
  virtual void RevokeLease(std::string_view lease,
                           completion<done> completion) = 0;
};

}  // namespace radishwing::platform
