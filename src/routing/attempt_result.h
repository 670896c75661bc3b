#pragma once

namespace radishwing::routing {

/// How one attempt on a runner ended, as far as the runner's health goes.
enum class attempt_result {
  kSuccess,
  kRefused,    ///< The connection was refused.
  kFailed,     ///< Closed, timed out, or answered with a server error.
  kFull,       ///< Rejected: not run, all slots in use.
  kNoVerdict,  ///< Cancelled from this side.
};

}  // namespace radishwing::routing
