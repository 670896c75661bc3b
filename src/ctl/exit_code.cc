#include "src/ctl/exit_code.h"

namespace radishwing::ctl {

exit_code ExitCodeOf(failure_kind kind) {
  switch (kind) {
    case failure_kind::kInvalid:
      return exit_code::kUsage;
    case failure_kind::kNotFound:
      return exit_code::kNotFound;
    case failure_kind::kConflict:
      return exit_code::kConflict;
    case failure_kind::kDenied:
      return exit_code::kDenied;
    case failure_kind::kUnavailable:
    case failure_kind::kFull:
      return exit_code::kUnavailable;
    case failure_kind::kTimeout:
      return exit_code::kUnknown;
    case failure_kind::kInternal:
      return exit_code::kInternal;
  }
  return exit_code::kInternal;
}

}  // namespace radishwing::ctl
