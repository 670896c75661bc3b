#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/fleet/job_record.h"
#include "src/node/node_context.h"

namespace radishwing::node {

/// What became of a submission.
enum class intake_outcome {
  kAccepted,  ///< It is stored, now or from an earlier attempt.
  kRefused,   ///< It is not stored and never will be.
  kUnknown,   ///< It may be or may become stored.
};

/// Stores accepted jobs, those that arrive together in one commit.
class job_intake {
 public:
  using completion = std::function<void(intake_outcome)>;
  /// Told of a stored job: its id and record.
  using stored_hook =
      std::function<void(const std::string& id, const std::string& record)>;

  job_intake(node_context& context, stored_hook stored);
  ~job_intake();

  void Submit(fleet::job_record record, completion done);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
