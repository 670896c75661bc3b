#pragma once

namespace radishwing::fleet {

/// What became of an order to a runner or to a host.
enum class order_outcome {
  kAccepted,
  kFenced,   ///< A higher fencing token is known there.
  kOldRun,   ///< That run or a later one has ended or was stopped there.
  kTooLate,  ///< The lease had run out when the order arrived.
  kNoRoom,
  kBadTicket,
  kInvalid,
  kUnhealthy,      ///< Nothing was done; worth trying again.
  kOtherInstance,  ///< Another runner answers at this address.
  kNotSent,        ///< No connection; nothing was done.
  kUnknown,        ///< No answer; it may have been or may still be done.
  kBusy,           ///< The host is not up or leaves.
  kOtherWave,      ///< The host is not part of that wave.
};

/// Lower-case name for logs.
const char* OrderOutcomeName(order_outcome outcome);

}  // namespace radishwing::fleet
