#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::sched {

/// The stored cancel requests whose jobs the leader does not know. A job may
/// come later than its cancel request, or never. Holds as many requests as the
/// store does: the leader removes them from both after a retention time.
class early_cancels {
 public:
  /// A cancel request in the store.
  struct request {
    std::string job;             ///< Id of the job.
    std::uint64_t revision = 0;  ///< Revision of the request's key.
  };

  /// Adds a cancel request. `revision` is the revision of its key, or 0 if it
  /// is not known. A later revision starts the retention time again.
  void Add(const std::string& job, std::uint64_t revision, millis now);
  /// Removes the request for a job that has come, and returns true if it
  /// cancels the job. `job_revision` is the revision of the job's key. A
  /// request with a lower revision was removed from the store before the job
  /// was accepted: the record of the job would name it otherwise.
  bool Take(const std::string& job, std::uint64_t job_revision);
  /// Removes the request for `job`, whose key has been removed.
  void Remove(const std::string& job) { requests_.erase(job); }
  /// Returns at most `limit` requests that were added more than `retention_ms`
  /// ago and whose revision is known.
  std::vector<request> Expired(millis now, millis retention_ms,
                               std::size_t limit) const;

 private:
  struct entry {
    std::uint64_t revision = 0;
    millis added_at = 0;
  };
  std::map<std::string, entry> requests_;  ///< By job id.
};

}  // namespace radishwing::sched
