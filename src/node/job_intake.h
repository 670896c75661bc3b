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
  kUnknown,   ///< This submission may have stored the job, or may do so later.
  /// Another submission of the job has been refused, perhaps after this one was
  /// received. This submission did not store the job and never will, but
  /// another one may.
  kOverruled,
};

/// What a submission may rely on about refusals of earlier ones.
struct refusal_knowledge {
  /// Revision of the key of the newest refusal; 0: it does not exist.
  std::uint64_t revision = 0;
  /// Store revision that the node had seen when it received the submission. A
  /// refusal with a higher revision may be later than the submission.
  std::uint64_t seen_revision = 0;
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
  /// then calls `done`. Does not store it if a later submission was refused.
  void Submit(fleet::job_record record, refusal_knowledge refusal,
              completion done);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
