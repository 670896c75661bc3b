#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "src/control/control_options.h"
#include "src/control/platform_seam.h"

namespace radishwing::control {

/// The platform as promises of the decide thread, each with a deadline. A
/// platform that never answers leaves nothing waiting.
class store_port {
 public:
  /// Runs a task on the decide thread; callable from any thread.
  using poster = std::function<void(std::function<void()>)>;

  store_port(kj::Timer& timer, clock now, const control_timing& timing,
             platform_seam seam, poster post);

  kj::Promise<result<std::optional<stored_value>>> Get(const std::string& key);
  kj::Promise<result<put_answer>> Put(const std::string& key,
                                      const std::string& value,
                                      std::uint64_t expect,
                                      const std::string& lease);
  kj::Promise<result<stored_values>> List(const std::string& prefix);
  kj::Promise<result<stored_values>> Watch(const std::string& prefix,
                                           std::uint64_t after) {
    return Watch(prefix, after, timing_.watch_wait_ms);
  }
  kj::Promise<result<stored_values>> Watch(const std::string& prefix,
                                           std::uint64_t after, millis wait_ms);
  kj::Promise<result<std::string>> GrantLease(millis ttl_ms);
  kj::Promise<result<done>> RenewLease(const std::string& lease);
  kj::Promise<result<done>> DropLease(const std::string& lease);
  kj::Promise<result<live_list>> Live();
  kj::Promise<result<std::vector<platform_host>>> Hosts();
  kj::Promise<result<done>> DrainHost(const std::string& host);
  kj::Promise<result<done>> UndrainHost(const std::string& host);
  kj::Promise<result<done>> RebootHost(const std::string& host);

  /// False if the platform runs no jobs.
  bool StartJobs(job_start start);
  kj::Promise<result<rpc::job_answer>> Job(rpc::job_request request);
  kj::Promise<result<job_counts>> SetJobHosts(std::vector<job_host> hosts);
  void AdoptJobs(const std::string& host) {
    if (seam_.adopt_jobs) seam_.adopt_jobs(host);
  }

  /// Runs a task on the decide thread; callable from any thread.
  const poster& Post() const { return post_; }

  /// When the store answered last, in ms of the clock.
  millis LastContactMs() const { return last_contact_ms_; }

 private:
  template <typename T, typename Start>
  kj::Promise<result<T>> Call(bool wired, millis deadline_ms, Start start);

  kj::Timer& timer_;
  clock clock_;
  const control_timing& timing_;
  platform_seam seam_;
  poster post_;
  millis last_contact_ms_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, std::shared_ptr<void>> pending_;
};

}  // namespace radishwing::control
