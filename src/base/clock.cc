#include "src/base/clock.h"

#include <time.h>

#include <chrono>

namespace radishwing {
namespace {

template <typename Clock>
millis ReadMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

millis ReadBootMillis() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<millis>(now.tv_sec) * 1000 + now.tv_nsec / 1'000'000;
}

}  // namespace

clock clock::BootTime() { return clock(ReadBootMillis); }

clock clock::Monotonic() {
  return clock(ReadMillis<std::chrono::steady_clock>);
}

clock clock::Wall() { return clock(ReadMillis<std::chrono::system_clock>); }

}  // namespace radishwing
