#include "src/routing/slot_sharing.h"

#include <numeric>

namespace radishwing::routing {

slot_sharing::slot_sharing(slot_policy policy, std::uint32_t slots,
                           std::uint32_t entries)
    : policy_(policy), slots_(slots), in_flight_(entries), granted_(entries) {}

std::uint32_t slot_sharing::Part(std::uint32_t entry) const {
  auto entries = static_cast<std::uint32_t>(in_flight_.size());
  // The first entries get the remainder.
  return slots_ / entries + (entry < slots_ % entries ? 1 : 0);
}

slot_decision slot_sharing::MaySend(std::uint32_t entry) const {
  switch (policy_) {
    case slot_policy::kPartitioned:
      return in_flight_[entry] < Part(entry) ? slot_decision::kSend
                                             : slot_decision::kWait;
    case slot_policy::kGranted:
      return granted_[entry] > 0 ? slot_decision::kSend : slot_decision::kAsk;
    case slot_policy::kOptimistic:
      return in_flight_[entry] < slots_ ? slot_decision::kSend
                                        : slot_decision::kWait;
  }
  return slot_decision::kWait;
}

bool slot_sharing::Grant(std::uint32_t entry) {
  std::uint32_t promised =
      std::accumulate(granted_.begin(), granted_.end(), running_);
  if (promised >= slots_) return false;
  ++granted_[entry];
  return true;
}

bool slot_sharing::Arrive(std::uint32_t entry) {
  if (policy_ == slot_policy::kGranted) --granted_[entry];
  if (running_ >= slots_) {
    ++rejected_;
    return false;
  }
  ++running_;
  ++in_flight_[entry];
  return true;
}

void slot_sharing::Release(std::uint32_t entry) {
  --running_;
  --in_flight_[entry];
}

}  // namespace radishwing::routing
