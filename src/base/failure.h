#pragma once

#include <string>
#include <string_view>

namespace radishwing {

/// Categories of errors that callers handle differently.
enum class failure_kind {
  kInvalid,      ///< The input is not acceptable; retrying is futile.
  kNotFound,     ///< The requested object does not exist.
  kConflict,     ///< A compare-and-swap failed, or an id is already in use.
  kDenied,       ///< Authentication or authorization failed.
  kUnavailable,  ///< Server unreachable or overloaded; nothing was done.
  kTimeout,      ///< No response in time; the operation may have taken effect.
  kFull,         ///< A queue or another bounded resource is full.
  kInternal,     ///< A bug, or a malformed response from another program.
};

/// Returns the stable lower-case name of a kind, for logs and JSON.
std::string_view FailureKindName(failure_kind kind);

/// An error that is returned in a `result`, never thrown.
struct failure {
  failure_kind kind = failure_kind::kInternal;
  std::string message;
};

}  // namespace radishwing
