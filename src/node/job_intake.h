#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/fleet/job_record.h"
#include "src/node/node_context.h"

namespace radishwing::node {

/// Outcome of a submission.
enum class intake_outcome {
  kAccepted,  ///< The job is stored, by this or an earlier attempt.
  kRefused,   ///< The job is not stored and will not be.
  kUnknown,   ///< The job may be stored now or later.
};

/// Stores submitted jobs, batching those that wait into one commit.
class job_intake {
 public:
  using completion = std::function<void(intake_outcome)>;
  /// Called for each stored job.
  using stored_hook =
      std::function<void(const std::string& id, const std::string& record)>;

  job_intake(node_context& context, stored_hook on_stored);
  ~job_intake();

  void Submit(fleet::job_record record, completion done);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
