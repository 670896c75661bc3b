#pragma once

#include <string>

namespace radishwing::jobs {

/// What became of a submission.
enum class accept_state {
  kAccepted,  ///< Recorded in the store; it will run.
  kNotDone,   ///< Not recorded; it will never run.
  kUnknown,   ///< May have been recorded; it may run.
};

struct accept_outcome {
  accept_state state = accept_state::kNotDone;
  std::string id;       ///< Set if accepted.
  std::string message;  ///< Why not, otherwise.
};

}  // namespace radishwing::jobs
