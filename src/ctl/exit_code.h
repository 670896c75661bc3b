#pragma once

#include "src/base/failure.h"

namespace radishwing::ctl {

/// Exit codes of radishwingctl. Scripts depend on them; never renumber.
enum class exit_code {
  kDone = 0,
  kDifferent = 1,    ///< `settings diff` found differences.
  kUsage = 2,        ///< Wrong command line, or not possible in this state.
  kFindings = 3,     ///< The settings text has findings.
  kNotFound = 4,     ///< No such host, pool, job and so on.
  kConflict = 5,     ///< Somebody else changed the same thing; not applied.
  kUnconfirmed = 6,  ///< Applied, but not yet in force on every member.
  kUnknown = 7,      ///< The answer was lost; may or may not be applied.
  kUnavailable = 8,  ///< No control could be reached; nothing was done.
  kDenied = 9,       ///< The operator secret was not accepted.
  kInternal = 10,    ///< A control gave an answer that cannot be understood.
};

/// The exit code for a failure.
exit_code ExitCodeOf(failure_kind kind);

}  // namespace radishwing::ctl
