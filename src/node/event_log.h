#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "src/base/clock.h"
#include "src/base/log.h"

namespace radishwing::node {

/// Writes log lines within a budget per part and second, so that a burst of
/// decisions does not use up the processor. What it drops is counted and told
/// with the first line of the next second.
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

  clock clock_;
  millis window_ = 0;
  int written_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t told_ = 0;
};

}  // namespace radishwing::node
