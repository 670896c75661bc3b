#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "src/control/job_placement.h"
#include "src/control/platform_seam.h"
#include "src/jobs/job_manager.h"

namespace radishwing::control {

/// The jobs of a control on the thread of the platform's clients, which must
/// outlive it.
class job_service {
 public:
  job_service(boost::asio::io_context& io, platform::kv_store& store,
              platform::task_client& tasks, job_start start);

  void Handle(rpc::job_request request, jobs::job_manager::completion done) {
    manager_.Handle(std::move(request), std::move(done));
  }

  /// Takes over the hosts. No task starts afterwards on one that it excludes.
  job_counts SetHosts(const std::vector<job_host>& hosts);

  void Adopt(const std::string& host) { manager_.Adopt(host); }

 private:
  jobs::job_hooks Hooks(boost::asio::io_context& io, const job_start& start);

  job_placement placement_;
  std::shared_ptr<const std::vector<platform::host_info>> fleet_ =
      std::make_shared<const std::vector<platform::host_info>>();
  jobs::job_manager manager_;
};

}  // namespace radishwing::control
