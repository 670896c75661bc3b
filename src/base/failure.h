#pragma once

#include <string>
#include <string_view>

namespace radishwing {

/// Classes of error that callers act on.
enum class failure_kind {
  kInvalid,      ///< The input can never be accepted as it is.
  kNotFound,     ///< What was asked for does not exist.
  kConflict,     ///< A compare-and-swap or an identifier clashed.
  kDenied,       ///< Authentication or authorization failed.
  kUnavailable,  ///< The other side cannot be reached; nothing was done.
  kTimeout,      ///< No answer in time; the effect is unknown.
  kFull,         ///< A bounded resource has no room.
  kInternal,     ///< A defect or a broken answer from another program.
};

/// Stable lower-case name of a kind, for logs and JSON.
std::string_view FailureKindName(failure_kind kind);

/// An error value. Returned inside `result`, never thrown.
struct failure {
  failure_kind kind = failure_kind::kInternal;
  std::string message;
};

}  // namespace radishwing
