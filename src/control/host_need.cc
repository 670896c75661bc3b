#include "src/control/host_need.h"

namespace radishwing::control {
namespace {

using maintenance::host_state;

bool InWave(const host_facts& facts) {
  return facts.record.reason.starts_with(kWaveReason);
}

host_step OfEmpty(const host_facts& facts) {
  if (InWave(facts) && facts.reboots) {
    return facts.platform == platform_state::kDraining
               ? host_step::kMaintain
               : host_step::kDrainPlatform;
  }
  if (InWave(facts) || !facts.record.next_pool.empty()) {
    return host_step::kReturn;
  }
  return host_step::kNone;
}

// The platform drained the host before the record said `maintenance`, so that
// a host that is up has rebooted.
host_step OfMaintenance(const host_facts& facts, millis reboot_retry_ms) {
  if (facts.platform == platform_state::kUp) {
    return facts.live ? host_step::kReturn : host_step::kNone;
  }
  bool retry = facts.platform == platform_state::kDraining &&
               facts.in_state_ms >= reboot_retry_ms;
  return retry ? host_step::kReboot : host_step::kNone;
}

}  // namespace

bool HasFailed(const host_facts& facts, millis absent_limit_ms) {
  if (!facts.listed || facts.platform == platform_state::kFailed) return true;
  switch (facts.record.state) {
    case host_state::kActive:
      return facts.leaving || facts.platform != platform_state::kUp ||
             facts.absent_ms >= absent_limit_ms;
    case host_state::kDraining:
      return facts.absent_ms >= absent_limit_ms;
    case host_state::kFailed:
      return !facts.live || facts.platform != platform_state::kUp;
    case host_state::kEmpty:
    case host_state::kMaintenance:
      break;
  }
  return false;
}

host_step NextHostStep(const host_facts& facts, millis absent_limit_ms,
                       millis reboot_retry_ms) {
  const host_state state = facts.record.state;
  if (HasFailed(facts, absent_limit_ms)) {
    return state == host_state::kFailed ? host_step::kNone : host_step::kFail;
  }
  switch (state) {
    case host_state::kActive:
      return facts.unavailable.empty() ? host_step::kNone : host_step::kRelease;
    case host_state::kDraining:
      if (facts.aborted) return host_step::kCancel;
      return facts.drained ? host_step::kMarkEmpty : host_step::kNone;
    case host_state::kEmpty:
      return OfEmpty(facts);
    case host_state::kMaintenance:
      return OfMaintenance(facts, reboot_retry_ms);
    case host_state::kFailed:
      return facts.in_state_ms >= absent_limit_ms ? host_step::kReturn
                                                  : host_step::kNone;
  }
  return host_step::kNone;
}

}  // namespace radishwing::control
