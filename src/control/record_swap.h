#pragma once

#include <kj/async.h>

#include <functional>
#include <optional>
#include <string>

#include "src/control/store_port.h"

namespace radishwing::control {

/// One change of a store record, repeated on the newest version while others
/// change the record at the same time.
struct record_swap {
  std::string key;
  /// Computes the next value from the current one (nothing: the key does not
  /// exist). A failure ends the change and is returned.
  std::function<result<std::string>(const std::optional<stored_value>&)> next;
  /// Called with each version that is read or written.
  std::function<void(const stored_value&)> seen;
};

/// Runs a swap. Returns the record that contains the change; kTimeout if it
/// may have taken effect or may still do so.
kj::Promise<result<stored_value>> SwapRecord(store_port& store,
                                             record_swap swap);

}  // namespace radishwing::control
