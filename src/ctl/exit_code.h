#pragma once

#include "src/base/failure.h"

namespace radishwing::ctl {

/// Exit codes of the radishwingctl process. Scripts depend on the values, so
/// they must not change.
enum class exit_code {
  kSuccess = 0,      ///< The command printed its result.
  kUsageError = 2,   ///< Invalid command line.
  kFindings = 3,     ///< A settings file is invalid.
  kNotFound = 4,     ///< No such job, or no configuration is stored.
  kUnavailable = 8,  ///< The store or a file could not be read.
  kInternal = 10,    ///< The store returned an unexpected response.
};

/// Returns the exit code of a command that failed with `kind`.
exit_code ExitCodeFor(failure_kind kind);

}  // namespace radishwing::ctl
