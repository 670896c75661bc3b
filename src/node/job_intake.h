#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/fleet/job_record.h"
#include "src/node/node_context.h"

namespace radishwing::node {

/// Whether a submitted job was stored.
enum class submission_outcome {
  kAccepted,  ///< The job is stored, by this or an earlier submission.
  kRefused,   ///< This submission did not store the job and never will.
  /// As kRefused; the store would refuse the job again, as it is too large.
  kTooLarge,
  kUnknown,  ///< This submission may have stored the job, or may do so later.
};

/// Stores submitted jobs. While earlier commits are in flight, new jobs may
/// have to wait. The jobs that wait at the same time share a commit.
class job_intake {
 public:
  using completion = std::function<void(submission_outcome)>;
  /// Called for each job that is stored; `record` and `revision` are the value
  /// and the revision of the job's key in the store.
  using stored_hook =
      std::function<void(const std::string& id, const std::string& record,
                         std::uint64_t revision)>;

  job_intake(node_context& context, stored_hook on_stored);
  ~job_intake();

  /// Stores `record`, or keeps the job that is already stored with the same id,
  /// then calls `done`.
  void Submit(fleet::job_record record, completion done);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
