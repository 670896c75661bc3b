#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/jobs/accept_outcome.h"
#include "src/jobs/job_options.h"
#include "src/jobs/job_record.h"
#include "src/platform/kv_store.h"

namespace radishwing::jobs {

/// What a job_store tells its user, on the thread of the io_context.
struct job_store_hooks {
  /// A job was recorded or recovered, or its record was changed by another
  /// process: look at it now.
  std::function<void(const std::string& id)> on_due;
  /// Another process drives the job now. The record is about to go.
  std::function<void(const std::string& id)> on_removed;
};

/// The accepted jobs that this process drives, in memory and in the store.
/// Submissions and changes of state are collected into batches: one value of
/// the store carries many jobs, and there is at most one write at a time and
/// per `write_ms`. Every write is a compare-and-swap on the batch; a process
/// that lost a batch to another one learns it from the conflict or from its
/// regular read, and lets go of the jobs. Used on the thread of the
/// io_context; the kv_store must outlive this object.
class job_store {
 public:
  job_store(boost::asio::io_context& io, platform::kv_store& store,
            job_options options, job_store_hooks hooks);
  ~job_store();

  /// Takes over the batches of every process of `host` in this data centre,
  /// over outages of the store until it has succeeded.
  void Adopt(std::string_view host);

  /// Records a new job; its id is set here. The completion runs within
  /// `answer_ms`.
  void Append(job_record job, std::function<void(accept_outcome)> completion);

  /// A job that this process drives, or null. Valid until the next call.
  job_record* Find(std::string_view id);

  /// The record has been changed and will be written soon. The completion, if
  /// any, learns whether the next write succeeded.
  void Touch(std::string_view id, std::function<void(bool)> completion = {});

  /// Forgets an ended job.
  void Remove(std::string_view id);

  /// Reads a job that another process drives. Costs one read.
  void Load(std::string_view id,
            std::function<void(result<job_record>)> completion);

  /// Asks the process that drives the job to cancel it, by its record.
  void CancelElsewhere(std::string_view id, std::string_view team,
                       std::function<void(result<job_record>)> completion);

  /// Calls `visit` for each job that this process drives.
  void ForEach(const std::function<void(const job_record&)>& visit) const;

  /// True while jobs of earlier processes are still to be taken over.
  bool Adopting() const;

  /// Jobs and bytes held in memory, submissions that wait included.
  std::size_t Jobs() const;
  std::size_t Bytes() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::jobs
