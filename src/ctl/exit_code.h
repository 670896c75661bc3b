#pragma once

#include "src/base/failure.h"

namespace radishwing::ctl {

/// Exit codes of radishwingctl. Scripts depend on them; never renumber.
enum class exit_code {
  kDone = 0,
  kUsage = 2,        ///< Wrong command line.
  kFindings = 3,     ///< A settings text has findings.
  kNotFound = 4,     ///< No such job.
  kUnavailable = 8,  ///< The store or a file could not be read.
  kInternal = 10,    ///< The store gave an answer that cannot be understood.
};

/// The exit code for a failure.
exit_code ExitCodeOf(failure_kind kind);

}  // namespace radishwing::ctl
