#pragma once

namespace radishwing::fleet {

/// Outcome of an order to a runner or a host (the receiver).
enum class order_outcome {
  kAccepted,
  kFenced,    ///< The receiver has seen a higher fencing token.
  kStaleRun,  ///< The run, or a later run of its task, ended or was stopped.
  kExpired,   ///< The lease in the order had expired on arrival.
  kInsufficientCapacity,  ///< The task needs more than the free capacity.
  kBadTicket,             ///< The ticket is missing or not valid.
  kInvalid,               ///< The order is malformed or its target is unknown.
  /// The receiver is overloaded or unavailable. It did not carry out the order,
  /// and the sender can retry.
  kUnavailable,
  kWrongInstance,  ///< Another runner answered at the runner's address.
  kNotSent,        ///< The connection failed before the order was sent.
  /// No usable answer: the receiver may have carried out the order or may yet
  /// do so.
  kUnknown,
  kBusy,  ///< The host is not up, or is leaving its pool.
  /// The host is not in the maintenance wave that the order names.
  kNotInWave,
};

/// Returns the text that stands for an outcome in logs and metrics.
const char* OrderOutcomeName(order_outcome outcome);

}  // namespace radishwing::fleet
