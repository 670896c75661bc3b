#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace radishwing::sched {

/// A write of a job's progress to the store.
struct pending_write {
  std::string job;                     ///< Id of the job.
  std::uint64_t progress_version = 0;  ///< Version of the progress in `text`.
  /// Store revision that the job's progress record must have for the write.
  std::uint64_t record_revision = 0;
  /// Store revision that the job's key must have for the write; 0: none. Set if
  /// the write creates the record, so that no record is created for a job whose
  /// keys have been removed.
  std::uint64_t job_revision = 0;
  std::string text;  ///< Output of EncodeProgress.

  /// Returns the number of entries of a commit that the write takes: itself and
  /// its preconditions.
  std::size_t EntryCount() const { return job_revision > 0 ? 3 : 2; }
};

}  // namespace radishwing::sched
