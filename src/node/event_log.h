#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "src/base/clock.h"
#include "src/base/log.h"

namespace radishwing::node {

/// Rate-limited log. Each component has its own budget of lines per second, so
/// that a burst from one component neither saturates the CPU nor suppresses the
/// lines of the others. The number of dropped lines is logged before the
/// component's next line. `component` must be a string literal because only a
/// view of it is kept.
class event_log {
 public:
  explicit event_log(clock clock) : clock_(std::move(clock)) {}

  void Info(std::string_view component, std::string_view text) {
    Write(log_level::kInfo, component, text);
  }
  void Warning(std::string_view component, std::string_view text) {
    Write(log_level::kWarning, component, text);
  }
  /// Bypasses the budget. Used for start, stop, reload and role changes.
  void Always(std::string_view component, std::string_view text) {
    Log(log_level::kInfo, component, text);
  }

  std::uint64_t Dropped() const { return dropped_; }

 private:
  void Write(log_level level, std::string_view component,
             std::string_view text);

  /// Usage of one component in the current one-second window.
  struct budget {
    millis window = 0;
    int written = 0;
    std::uint64_t dropped = 0;
  };

  clock clock_;
  std::map<std::string_view, budget> budgets_;
  std::uint64_t dropped_ = 0;
};

}  // namespace radishwing::node
