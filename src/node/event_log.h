#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "src/base/clock.h"
#include "src/base/log.h"

namespace radishwing::node {

/// Writes log lines within a budget for each part and second, so that a burst
/// of decisions of one part uses up neither the processor nor the others'
/// lines. What it drops is counted and told with the part's first line
/// afterwards. `part` must be a literal: its text is kept by reference.
class event_log {
 public:
  explicit event_log(clock clock) : clock_(std::move(clock)) {}

  void Info(std::string_view part, std::string_view text) {
    Write(log_level::kInfo, part, text);
  }
  void Warning(std::string_view part, std::string_view text) {
    Write(log_level::kWarning, part, text);
  }
  /// Not subject to the budget: start, stop, reload, role changes.
  void Always(std::string_view part, std::string_view text) {
    Log(log_level::kInfo, part, text);
  }

  std::uint64_t Dropped() const { return dropped_; }

 private:
  void Write(log_level level, std::string_view part, std::string_view text);

  /// The current second of one part.
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
