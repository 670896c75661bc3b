#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "src/base/clock.h"
#include "src/base/log.h"

namespace radishwing::node {

/// Log with a limit of lines per second for each component. A burst from one
/// component thus neither saturates the CPU nor suppresses the lines of others.
/// The number of dropped lines is logged before the component's next line.
/// `component` must be a string literal because only a view of it is kept.
class event_log {
 public:
  explicit event_log(clock clock) : clock_(std::move(clock)) {}

  void Info(std::string_view component, std::string_view text) {
    Write(log_level::kInfo, component, text);
  }
  void Warning(std::string_view component, std::string_view text) {
    Write(log_level::kWarning, component, text);
  }
  /// Writes a line at info level regardless of the limit. Used for start, stop,
  /// reload and role changes.
  void InfoUnlimited(std::string_view component, std::string_view text) {
    Log(log_level::kInfo, component, text);
  }

  /// Returns the number of lines dropped since the start, for all components.
  std::uint64_t DroppedLineCount() const { return dropped_; }

 private:
  /// Writes a line, or drops it if the component has reached its limit.
  void Write(log_level level, std::string_view component,
             std::string_view text);

  /// Number of lines of one component in its current window of one second.
  struct budget {
    millis window_start = 0;
    int written = 0;
    std::uint64_t dropped = 0;  ///< Since the last report of dropped lines.
  };

  clock clock_;
  std::map<std::string_view, budget> budgets_;
  std::uint64_t dropped_ = 0;
};

}  // namespace radishwing::node
