#include "src/ctl/exit_code.h"

namespace radishwing::ctl {

exit_code ExitCodeFor(failure_kind kind) {
  switch (kind) {
    case failure_kind::kInvalid:
      return exit_code::kFindings;
    case failure_kind::kNotFound:
      return exit_code::kNotFound;
    case failure_kind::kTimeout:
    case failure_kind::kUnavailable:
      return exit_code::kUnavailable;
    default:
      return exit_code::kInternal;
  }
}

}  // namespace radishwing::ctl
