#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/platform/kv_store.h"

namespace radishwing::platform {

struct duty_lease_options {
  std::string key;     ///< "lease/<duty>".
  std::string holder;  ///< "<host>#<incarnation>", for operators.
  /// A dead holder is replaced within 1.5 times this. Renewed every third of
  /// it; candidates read the key every half of it.
  millis ttl_ms = 6000;
  radishwing::clock clock = radishwing::clock::Monotonic();
};

/// A duty that one process at a time performs. Takes the key when it is free,
/// renews it, and takes it again after losing it. Only avoids duplicate work:
/// two processes may briefly believe to hold it, so every write of the duty is
/// still a compare-and-swap. Stops when destroyed; the key then expires.
class duty_lease {
 public:
  /// `on_change` runs on the thread of the io_context. The store must outlive
  /// this object.
  duty_lease(boost::asio::io_context& io, kv_store& store,
             duty_lease_options options,
             std::function<void(bool held)> on_change);
  ~duty_lease();

  bool Held() const;

  /// Gives the duty up for good, for a planned stop. `completion` runs when
  /// the store has confirmed or cannot be reached.
  void Release(std::function<void()> completion);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::platform
