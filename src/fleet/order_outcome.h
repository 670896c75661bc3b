#pragma once

namespace radishwing::fleet {

/// Outcome of an order to a runner or a host.
enum class order_outcome {
  kAccepted,
  kFenced,    ///< The receiver has seen a higher fencing token.
  kStaleRun,  ///< This run or a later one has ended or was stopped.
  kExpired,   ///< The lease had expired when the order arrived.
  kInsufficientCapacity,
  kBadTicket,
  kInvalid,
  kUnhealthy,      ///< Not carried out; can be retried.
  kWrongInstance,  ///< Another runner uses this address.
  kNotSent,        ///< Connection failed; not carried out.
  kUnknown,        ///< No answer; may have been or may yet be carried out.
  kBusy,           ///< The host is not up, or is leaving its pool.
  kNotInWave,      ///< The host is not in that maintenance wave.
};

/// Returns the lower-case name of an outcome, for logs.
const char* OrderOutcomeName(order_outcome outcome);

}  // namespace radishwing::fleet
