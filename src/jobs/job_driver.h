#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "src/jobs/job_hooks.h"
#include "src/jobs/job_options.h"
#include "src/jobs/job_store.h"
#include "src/platform/task_client.h"

namespace radishwing::jobs {

/// Runs the jobs of a job_store as platform tasks: starts them when a token
/// and a host are there, renews their leases, follows them to their end. What
/// to do next is decided in job_machine. Used on the thread of the io_context;
/// the store and the client must outlive this object.
class job_driver {
 public:
  job_driver(boost::asio::io_context& io, job_store& store,
             platform::task_client& tasks, job_options options,
             job_hooks hooks);
  ~job_driver();

  /// Looks at the job now.
  void OnDue(const std::string& id);
  /// Another process drives the job: lets go of it and of its token.
  void OnRemoved(const std::string& id);

  /// Tasks per team that run or may run, whether or not a token is held for
  /// them yet. After a restart this shows use that was recovered.
  std::map<std::string, std::uint32_t> RunningByTeam() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::jobs
