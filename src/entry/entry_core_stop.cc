// The graceful stop.
#include "src/base/log.h"
#include "src/entry/entry_core.h"

namespace radishwing::entry {

using boost::system::error_code;

namespace {

// After the last request, connections stay open this long, so that a request
// on its way is told 503 instead of seeing a broken connection.
constexpr millis kDrainLeastMs = 500;

}  // namespace

void entry_core::Stop(std::function<void()> stopped) {
  if (stop_ != stop_phase::kNone) return;
  stop_ = stop_phase::kDelay;
  stop_at_ = Now() + options_.balancer_delay_ms;
  stopped_ = std::move(stopped);
  LogInfo("entry",
          "stop requested, in_flight=" + std::to_string(active_.size()) +
              " delay_ms=" + std::to_string(options_.balancer_delay_ms));
}

void entry_core::TickStop(millis now) {
  if (stop_ == stop_phase::kDelay && now >= stop_at_) {
    stop_ = stop_phase::kDraining;
    stop_at_ = now + kDrainLeastMs;
    error_code ignored;
    acceptor_.close(ignored);
  }
  if (stop_ != stop_phase::kDraining || now < stop_at_ || !active_.empty()) {
    return;
  }
  stop_ = stop_phase::kDone;
  for (int i = 0; i < 2; ++i) ReturnIdleTokens();
  while (!callers_.empty()) callers_.back()->Abort();
  Publish();
  if (port_.report_now) port_.report_now();
  LogInfo("entry", "drained");
  if (stopped_) stopped_();
}

}  // namespace radishwing::entry
