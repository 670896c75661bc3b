#pragma once

#include <cstdint>
#include <functional>

namespace radishwing {

/// A point in time or a duration, in milliseconds. The epoch of a point in time
/// depends on its clock: only points of the same clock can be compared.
using millis = std::int64_t;

/// Source of the current time. It is passed to all code that reads the time, so
/// that tests can control the time. Copies share the source.
class clock {
 public:
  /// Returns the current time in milliseconds.
  using source = std::function<millis()>;

  explicit clock(source now) : now_(std::move(now)) {}

  /// Returns the current time in milliseconds. Thread-safe if the source is.
  millis Now() const { return now_(); }

  /// Monotonic time, unaffected by changes of the wall clock.
  static clock Monotonic();

  /// Monotonic time that also advances while the machine is suspended. Used to
  /// measure leases and the age of cached data.
  static clock BootTime();

  /// Milliseconds since the Unix epoch. Used only for log lines, incarnation
  /// numbers and records that people read; no decision may depend on it.
  static clock Wall();

 private:
  source now_;
};

/// A clock for tests that only changes when it is advanced.
class manual_clock {
 public:
  explicit manual_clock(millis start = 0) : now_(start) {}
  void Advance(millis by) { now_ += by; }
  millis Now() const { return now_; }

  /// Returns a clock that reads the time of this object. The object must
  /// outlive the clock.
  clock AsClock() {
    return clock([this] { return now_; });
  }

 private:
  millis now_;
};

}  // namespace radishwing
