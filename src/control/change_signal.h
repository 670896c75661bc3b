#pragma once

#include <kj/async.h>
#include <kj/timer.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::control {

/// Lets long polls wait for the next change. Used on the decide thread.
class change_signal {
 public:
  explicit change_signal(kj::Timer& timer) : timer_(timer) {}

  /// Resolves at the next Raise, or after `wait_ms`.
  kj::Promise<void> Next(millis wait_ms) {
    // Waits that timed out are still listed.
    std::erase_if(waiting_, [](auto& w) { return !w->isWaiting(); });
    auto pair = kj::newPromiseAndFulfiller<void>();
    waiting_.push_back(std::move(pair.fulfiller));
    return timer_.afterDelay(wait_ms * kj::MILLISECONDS)
        .exclusiveJoin(std::move(pair.promise));
  }

  void Raise() {
    for (auto& waiting : std::exchange(waiting_, {})) waiting->fulfill();
  }

 private:
  kj::Timer& timer_;
  std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiting_;
};

}  // namespace radishwing::control
