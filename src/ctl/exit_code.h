#pragma once

#include "src/base/failure.h"

namespace radishwing::ctl {

/// Exit codes of radishwingctl. Scripts depend on the values, so they must not
/// change.
enum class exit_code {
  kSuccess = 0,
  kUsageError = 2,   ///< Invalid command line.
  kFindings = 3,     ///< A settings file has findings.
  kNotFound = 4,     ///< The job or the configuration does not exist.
  kUnavailable = 8,  ///< The store or a file could not be read.
  kInternal = 10,    ///< The store returned an unexpected response.
};

/// Returns the exit code for a failure of kind `kind`.
exit_code ExitCodeFor(failure_kind kind);

}  // namespace radishwing::ctl
