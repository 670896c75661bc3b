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

  /// Returns the number of lines of all components dropped since this log was
  /// created.
  std::uint64_t DroppedLineCount() const { return dropped_line_count_; }

 private:
  /// Writes a line, or drops it if the component has reached its limit.
  void Write(log_level level, std::string_view component,
             std::string_view text);

  /// Numbers of lines of one component. The limit applies to each window of one
  /// second.
  struct line_counts {
    millis window_start = 0;    ///< Start time of the current window.
    int written = 0;            ///< Lines written in the current window.
    std::uint64_t dropped = 0;  ///< Dropped lines not reported in the log yet.
  };

  clock clock_;
  std::map<std::string_view, line_counts> line_counts_;  ///< By component.
  std::uint64_t dropped_line_count_ = 0;  ///< For all components.
};

}  // namespace radishwing::node
