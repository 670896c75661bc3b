#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string_view>

#include "src/jobs/job_driver.h"
#include "src/jobs/job_hooks.h"
#include "src/jobs/job_options.h"
#include "src/jobs/job_store.h"
#include "src/platform/kv_store.h"
#include "src/platform/task_client.h"
#include "src/rpc/entry_link.h"

namespace radishwing::jobs {

/// The jobs of a control process: accepts them, runs them as platform tasks,
/// answers for them. Jobs that another control drives are answered for from
/// the store. Used on the thread that runs `io`; the clients must outlive it.
///
/// Answers (status, reason): 202 accepted or cancelling; 200 state or result;
/// 400 malformed, 404 no_such_job, 409 not_finished, 413 too_large,
/// 422 never_fits, 503 store_unavailable, hosts_unknown or full: not run;
/// 504 unknown: may have been accepted.
class job_manager {
 public:
  using completion = std::function<void(rpc::job_answer)>;

  /// Starts to take over the jobs that earlier processes of this host left.
  job_manager(boost::asio::io_context& io, platform::kv_store& store,
              platform::task_client& tasks, job_options options,
              job_hooks hooks);

  void Handle(rpc::job_request request, completion completion);

  /// Takes over the jobs of a host of this data centre that has failed. Safe
  /// if it is still alive: only one process can write a batch.
  void Adopt(std::string_view host);

  /// See job_store.
  void ForEach(const std::function<void(const job_record&)>& visit) const {
    store_->ForEach(visit);
  }
  bool Adopting() const { return store_->Adopting(); }

  /// See job_driver.
  std::map<std::string, std::uint32_t> RunningByTeam() const;

 private:
  void Submit(rpc::job_request request, completion completion);
  void State(const rpc::job_request& request, completion completion);
  void Cancel(const rpc::job_request& request, completion completion);
  void Result(const rpc::job_request& request, completion completion);
  void WithJob(const rpc::job_request& request,
               std::function<void(result<job_record>)> completion);

  platform::task_client& tasks_;
  job_options options_;
  job_hooks hooks_;
  /// Expires with this object, for completions that come later.
  std::shared_ptr<bool> alive_;
  std::unique_ptr<job_driver> driver_;
  std::unique_ptr<job_store> store_;
};

}  // namespace radishwing::jobs
