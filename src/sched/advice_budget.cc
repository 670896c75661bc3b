#include "src/sched/advice_budget.h"

#include <algorithm>

namespace radishwing::sched {
namespace {

constexpr millis kMaxTicketMarginMs = 300;
// A query is given up after kTimeoutFactor times the expected response time,
// within these bounds. The service answers queries one after the other, also
// those that were given up, so that an early repetition only waits behind them.
constexpr double kTimeoutFactor = 2;
constexpr double kMinTimeoutMs = 5000;
constexpr double kMaxTimeoutMs = 30000;
// Keeps the estimates above 0, so that they can grow again.
constexpr double kMinExpectedMs = 1;

}  // namespace

millis advice_budget::TicketMarginMs(millis valid_ms) {
  return std::min(kMaxTicketMarginMs, valid_ms / 4);
}

void advice_budget::SetDeclaredMs(millis fixed_ms, millis per_runner_ms) {
  if (fixed_ms == declared_fixed_ms_ &&
      per_runner_ms == declared_per_runner_ms_) {
    return;
  }
  declared_fixed_ms_ = fixed_ms;
  declared_per_runner_ms_ = per_runner_ms;
  fixed_ms_ = static_cast<double>(std::max<millis>(0, fixed_ms));
  per_runner_ms_ = static_cast<double>(std::max<millis>(0, per_runner_ms));
}

double advice_budget::ExpectedMs(std::size_t runners) const {
  return fixed_ms_ + per_runner_ms_ * static_cast<double>(runners);
}

std::size_t advice_budget::MaxRunners(millis valid_ms) const {
  const millis margin = TicketMarginMs(valid_ms);
  // The tickets keep half of the time that a query without runners would leave
  // them. If that is too short to use them, naming runners at most doubles the
  // response time.
  const double half_ms =
      (static_cast<double>(valid_ms - margin) - fixed_ms_) / 2;
  const double naming_ms =
      half_ms >= static_cast<double>(margin) ? half_ms : fixed_ms_;
  if (per_runner_ms_ * static_cast<double>(kMaxRunnersPerRequest) <=
      naming_ms) {
    return kMaxRunnersPerRequest;
  }
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(naming_ms / per_runner_ms_));
}

millis advice_budget::TimeoutMs(std::size_t runners) const {
  return static_cast<millis>(std::clamp(kTimeoutFactor * ExpectedMs(runners),
                                        kMinTimeoutMs, kMaxTimeoutMs));
}

void advice_budget::Adapt(std::size_t runners, double took) {
  const double expected = ExpectedMs(runners);
  if (expected < kMinExpectedMs) {
    per_runner_ms_ =
        std::max(took, kMinExpectedMs) / static_cast<double>(runners);
    return;
  }
  const double ratio = took / expected;
  const double scale = ratio > 1 ? ratio : (1 + ratio) / 2;
  fixed_ms_ *= scale;
  per_runner_ms_ *= scale;
}

void advice_budget::RecordResponse(std::size_t runners, millis took) {
  if (runners > 0) Adapt(runners, static_cast<double>(took));
}

void advice_budget::RecordFailure(std::size_t runners, millis waited) {
  // A failure that came early says nothing about the response time.
  const auto at_least = static_cast<double>(waited);
  if (runners > 0 && at_least > ExpectedMs(runners)) Adapt(runners, at_least);
}

}  // namespace radishwing::sched
