#pragma once

#include <kj/async-io.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "src/control/host_board.h"
#include "src/control/store_port.h"
#include "src/control/token_service.h"

namespace radishwing::control {

/// The decide thread's side of the jobs: hands requests of the entry to the
/// platform's thread, tells it which hosts may run tasks, and provides the
/// tokens for them. Used on the decide thread.
class job_link : private kj::TaskSet::ErrorHandler {
 public:
  job_link(kj::Timer& timer, const control_options& options, store_port& store,
           host_board& board, token_service& tokens);

  void Start();
  void Stop();

  kj::Promise<rpc::job_answer> Handle(const rpc::job_request& request);

  /// Tasks of this control on a host that takes no new ones; nothing if one
  /// may still start there.
  std::optional<std::uint32_t> On(const std::string& host) const;

  const job_counts& Counts() const { return counts_; }

  /// Takes over the jobs of a control that failed; once per failure.
  void OnMember(const membership::member& row);

 private:
  void taskFailed(kj::Exception&& exception) override;
  kj::Promise<void> Loop();
  kj::Promise<void> Push();
  void Acquire(const std::string& team, std::function<void(bool)> granted);
  void Release(const std::string& team);

  kj::Timer& timer_;
  const control_options& options_;
  store_port& store_;
  host_board& board_;
  token_service& tokens_;
  std::string holder_;  ///< As the token accounts name the jobs.
  bool running_ = false;
  job_counts counts_;
  std::map<std::string, std::uint64_t> excluded_;  ///< Host to record epoch.
  std::map<std::string, std::deque<std::uint64_t>> held_;  ///< Token epochs.
  std::set<std::string> adopted_;
  kj::Own<kj::TaskSet> tasks_;
};

}  // namespace radishwing::control
