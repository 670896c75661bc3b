#pragma once

namespace radishwing::sched {

/// Why the write of a job's progress failed.
enum class write_failure {
  kUnavailable,  ///< The store got or answered no write.
  kConflict,     ///< A key had another revision than expected.
  /// The store refused a commit with the writes of several jobs for good. One
  /// of them may be the cause.
  kRefusedWithOthers,
  kRefused,  ///< The store refused the write for good.
};

}  // namespace radishwing::sched
