#pragma once

#include <functional>
#include <memory>

#include "src/fleet/job_record.h"
#include "src/http/server_response.h"
#include "src/node/admission_control.h"
#include "src/node/job_intake.h"
#include "src/node/node_context.h"

namespace radishwing::node {

/// Handles submissions of jobs: decides whether to accept a job, then stores
/// the job, or makes sure that it is not stored before it is refused.
class job_submission {
 public:
  using responder = std::function<void(http::server_response)>;

  /// `on_stored` is called for each job that is stored.
  job_submission(node_context& context, admission_control& admission,
                 job_intake::stored_hook on_stored);
  ~job_submission();

  /// Handles the submission of `job`, whose request is decoded, and passes the
  /// response to `respond`.
  void Submit(fleet::job_record job, responder respond);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

/// Returns a response with the status 503 and a Retry-After header.
http::server_response MakeRetryLaterResponse(std::string_view reason);

}  // namespace radishwing::node
