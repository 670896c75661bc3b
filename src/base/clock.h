#pragma once

#include <cstdint>
#include <functional>

namespace radishwing {

/// A point in time or a length of time, in milliseconds. The origin of a point
/// is the clock's own: only differences between points of one clock matter.
using millis = std::int64_t;

/// Source of the current time. Injected everywhere, so that tests and golden
/// sessions set the time themselves. Copies share the source.
class clock {
 public:
  using source = std::function<millis()>;

  explicit clock(source now) : now_(std::move(now)) {}

  /// The current time in milliseconds. Callable from any thread if the source
  /// is.
  millis Now() const { return now_(); }

  /// Monotonic time of this process. Unaffected by changes of the wall clock.
  static clock Monotonic();

  /// Monotonic time that goes on while the machine is suspended. Leases and
  /// the age of what was read are measured with it.
  static clock WithSuspend();

  /// Milliseconds since the Unix epoch. Only for log lines, incarnations and
  /// records that people read; no decision depends on it.
  static clock Wall();

 private:
  source now_;
};

/// A clock that stands still until a test advances it.
class manual_clock {
 public:
  explicit manual_clock(millis start = 0) : now_(start) {}
  void Advance(millis by) { now_ += by; }
  millis Now() const { return now_; }

  /// A clock that reads this object, which must outlive it.
  clock View() {
    return clock([this] { return now_; });
  }

 private:
  millis now_;
};

}  // namespace radishwing
