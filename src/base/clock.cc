#include "src/base/clock.h"

#include <chrono>

namespace radishwing {
namespace {

template <typename Clock>
millis ReadMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

}  // namespace

clock clock::Monotonic() {
  return clock(ReadMillis<std::chrono::steady_clock>);
}

clock clock::Wall() { return clock(ReadMillis<std::chrono::system_clock>); }

}  // namespace radishwing
