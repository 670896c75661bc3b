#include "src/fleet/order_outcome.h"

namespace radishwing::fleet {

const char* OrderOutcomeName(order_outcome outcome) {
  switch (outcome) {
    case order_outcome::kAccepted:
      return "accepted";
    case order_outcome::kFenced:
      return "fenced";
    case order_outcome::kStaleRun:
      return "old_run";
    case order_outcome::kExpired:
      return "too_late";
    case order_outcome::kInsufficientCapacity:
      return "no_room";
    case order_outcome::kBadTicket:
      return "bad_ticket";
    case order_outcome::kInvalid:
      return "invalid";
    case order_outcome::kUnavailable:
      return "unhealthy";
    case order_outcome::kWrongInstance:
      return "other_instance";
    case order_outcome::kNotSent:
      return "not_sent";
    case order_outcome::kUnknown:
      return "unknown";
    case order_outcome::kBusy:
      return "busy";
    case order_outcome::kNotInWave:
      return "other_wave";
  }
  return "unknown";
}

}  // namespace radishwing::fleet
