#include "src/node/event_log.h"

#include <string>

namespace radishwing::node {
namespace {

// Limit of lines for each component. A line takes about 20 us of CPU time to
// write, so the lines of a component use at most 2.4 ms of each second.
constexpr int kMaxLinesPerSecond = 120;
// Window to which the limit applies.
constexpr millis kLimitWindowMs = 1000;

}  // namespace

void event_log::Write(log_level level, std::string_view component,
                      std::string_view text) {
  const millis now = clock_.Now();
  line_counts& current = line_counts_[component];
  if (now - current.window_start >= kLimitWindowMs) {
    current.window_start = now;
    current.written = 0;
    if (current.dropped > 0) {
      Log(log_level::kWarning, component,
          "lines dropped, count=" + std::to_string(current.dropped));
      current.dropped = 0;
    }
  }
  if (current.written >= kMaxLinesPerSecond) {
    ++current.dropped;
    ++dropped_line_count_;
    return;
  }
  ++current.written;
  Log(level, component, text);
}

}  // namespace radishwing::node
