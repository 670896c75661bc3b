#include "src/node/event_log.h"

#include <string>

namespace radishwing::node {
namespace {

// Lines of one part in a second; each costs about 20 us of the processor.
constexpr int kLinesPerSecond = 120;
constexpr millis kWindowMs = 1000;

}  // namespace

void event_log::Write(log_level level, std::string_view part,
                      std::string_view text) {
  const millis now = clock_.Now();
  budget& own = budgets_[part];
  if (now - own.window >= kWindowMs) {
    own.window = now;
    own.written = 0;
    if (own.dropped > 0) {
      Log(log_level::kWarning, part,
          "lines dropped, count=" + std::to_string(own.dropped));
      own.dropped = 0;
    }
  }
  if (own.written >= kLinesPerSecond) {
    ++own.dropped;
    ++dropped_;
    return;
  }
  ++own.written;
  Log(level, part, text);
}

}  // namespace radishwing::node
