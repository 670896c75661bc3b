#pragma once

#include <string>

#include "src/base/clock.h"
#include "src/control/platform_seam.h"
#include "src/maintenance/host_record.h"

namespace radishwing::control {

/// What a control knows of a host with a record.
struct host_facts {
  maintenance::host_record record;
  bool listed = true;  ///< The platform lists the host.
  platform_state platform = platform_state::kUp;
  bool live = true;  ///< On the live list and not leaving.
  bool leaving = false;
  millis absent_ms = 0;     ///< How long it is missing from the live list.
  std::string unavailable;  ///< Reason in the ledger of its pool.
  bool drained = false;     ///< The drain is complete.
  bool aborted = false;     ///< The wave that drains it was aborted.
  bool reboots = true;      ///< The wave that drains it reboots it.
  millis in_state_ms = 0;   ///< Since this control knows the state.
};

/// The next step of a host. Each is carried out by one control of the host's
/// data centre and is safe to repeat.
enum class host_step {
  kNone,
  kFail,           ///< Enter the failure in the ledger, then in the record.
  kRelease,        ///< The ledger has a stop that the record does not have.
  kMarkEmpty,      ///< The drain is complete.
  kCancel,         ///< Return a draining host to its pool.
  kDrainPlatform,  ///< Let the platform drain the empty host.
  kMaintain,       ///< Record the maintenance, then reboot.
  kReboot,         ///< Order the reboot again.
  kReturn,         ///< Make it active.
};

/// Reason of the drains of a wave: this and its name.
inline constexpr std::string_view kWaveReason = "wave:";
inline constexpr std::string_view kMoveReason = "move";
inline constexpr std::string_view kOperatorReason = "operator";

/// True if the host failed or the platform takes it away unplanned.
bool HasFailed(const host_facts& facts, millis absent_limit_ms);

host_step NextHostStep(const host_facts& facts, millis absent_limit_ms,
                       millis reboot_retry_ms);

}  // namespace radishwing::control
