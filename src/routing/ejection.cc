#include "src/routing/ejection.h"

#include <algorithm>

namespace radishwing::routing {

bool ejection::Admits(millis now, bool idempotent) const {
  if (!out_) return true;
  if (probing_) return false;
  return now >= (idempotent ? until_ms_ : until_ms_ + period_ms_);
}

bool ejection::Start() {
  if (out_) probing_ = true;
  return out_;
}

void ejection::Success(bool probe) {
  // A success that started before the ejection does not end it.
  if (out_ && !probe) return;
  out_ = false;
  probing_ = false;
  failures_ = 0;
}

bool ejection::Failure(millis now, bool probe, std::uint32_t weight,
                       bool may_eject) {
  if (out_) {
    if (!probe) return false;
    probing_ = false;
    period_ms_ = std::min(period_ms_ * 2, kLongestPeriodMs);
    until_ms_ = now + period_ms_;
    return false;
  }
  failures_ += weight;
  if (failures_ < kEjectAfter || !may_eject) return false;
  out_ = true;
  period_ms_ = kFirstPeriodMs;
  until_ms_ = now + period_ms_;
  return true;
}

void ejection::Abandon(bool probe) {
  if (probe) probing_ = false;
}

}  // namespace radishwing::routing
