#include "src/node/event_log.h"

#include <string>

namespace radishwing::node {
namespace {

// Lines a second; each costs about 20 us of the processor.
constexpr int kLinesPerSecond = 300;
constexpr millis kWindowMs = 1000;

}  // namespace

void event_log::Write(log_level level, std::string_view part,
                      std::string_view text) {
  const millis now = clock_.Now();
  if (now - window_ >= kWindowMs) {
    window_ = now;
    written_ = 0;
    if (dropped_ != told_) {
      Log(log_level::kWarning, "log",
          "lines dropped, count=" + std::to_string(dropped_ - told_));
      told_ = dropped_;
    }
  }
  if (written_ >= kLinesPerSecond) {
    ++dropped_;
    return;
  }
  ++written_;
  Log(level, part, text);
}

}  // namespace radishwing::node
