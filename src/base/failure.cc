#include "src/base/failure.h"

namespace radishwing {

std::string_view FailureKindName(failure_kind kind) {
  switch (kind) {
    case failure_kind::kInvalid:
      return "invalid";
    case failure_kind::kNotFound:
      return "not_found";
    case failure_kind::kConflict:
      return "conflict";
    case failure_kind::kDenied:
      return "denied";
    case failure_kind::kUnavailable:
      return "unavailable";
    case failure_kind::kTimeout:
      return "timeout";
    case failure_kind::kFull:
      return "full";
    case failure_kind::kInternal:
      return "internal";
  }
  return "internal";
}

}  // namespace radishwing
