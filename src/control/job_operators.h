#pragma once

#include <kj/async-io.h>

#include <functional>
#include <string>

#include "src/control/job_link.h"
#include "src/control/operator_hooks.h"
#include "src/control/store_port.h"
#include "src/jobs/job_record.h"

namespace radishwing::control {

/// The jobs of all data centres as operators see them, read from the store: a
/// job's state there is up to a second old. Used on the decide thread.
class job_operators : private kj::TaskSet::ErrorHandler {
 public:
  job_operators(store_port& store, job_link& jobs)
      : store_(store), jobs_(jobs), tasks_(*this) {}

  void ListJobs(json_completion completion);
  void ShowJob(const std::string& id, json_completion completion);
  void CancelJob(const std::string& id, json_completion completion);

 private:
  void taskFailed(kj::Exception&& exception) override;
  /// Runs `use` with the record of a job, or completes with the failure.
  void WithJob(const std::string& id, json_completion completion,
               std::function<void(const jobs::job_record&)> use);

  store_port& store_;
  job_link& jobs_;
  kj::TaskSet tasks_;  // Last, so that it is destroyed first.
};

}  // namespace radishwing::control
