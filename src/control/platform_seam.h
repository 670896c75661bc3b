#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/rpc/entry_link.h"

namespace radishwing::control {

/// One key of the platform's store.
struct stored_value {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool deleted = false;  ///< Only in answers to a watch.
};

/// Several keys, as of one store revision.
struct stored_values {
  std::uint64_t revision = 0;
  std::vector<stored_value> items;
};

/// Answer to a compare-and-swap. If it was not written, `current` is what the
/// store holds.
struct put_answer {
  bool written = false;
  stored_value current;
};

/// One runner of the live list.
struct live_runner {
  std::string id;
  std::string service;
  std::string host;
  std::string address;
  std::uint16_t slots = 8;
  std::uint16_t connections = 64;
  bool leaving = false;
  std::uint32_t running = 0;
};

/// One host of the live list.
struct live_host {
  std::string host;
  bool leaving = false;
};

struct live_list {
  std::int64_t as_of_ms = 0;
  std::vector<live_host> hosts;
  std::vector<live_runner> runners;
};

/// State of a host as the platform knows it.
enum class platform_state { kUp, kDraining, kRebooting, kFailed };

/// Where a host stands, what it has and its state.
struct platform_host {
  std::string host;
  std::string data_centre;
  std::string rack;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  platform_state state = platform_state::kUp;
};

/// A host on which jobs may be placed.
struct job_host {
  platform_host about;
  bool accepts_work = true;  ///< False while it drains or has failed.
};

/// The jobs that this control drives, after it took over a list of hosts.
struct job_counts {
  std::map<std::string, std::uint32_t> tasks_on;  ///< By host.
  /// By service, then `waiting`, `running` or `unknown`.
  std::map<std::string, std::map<std::string, std::uint32_t>> by_service;
  bool complete = false;  ///< False while jobs are still being taken over.
};

/// What the jobs of a control are started with. The token hooks may be called
/// on any thread.
struct job_start {
  std::string data_centre;
  std::string owner;  ///< "<host>#<incarnation>".
  millis refresh_ms = 10000;
  std::function<void(std::string team, std::function<void(bool)>)>
      acquire_token;
  std::function<void(std::string team)> release_token;
};

template <typename T>
using reply_to = std::function<void(result<T>)>;

/// The platform as a control uses it. Calls are made on the decide thread and
/// must not block; replies may come on any thread, and each is used once.
/// failure_kind::kTimeout says that a write may have taken effect.
struct platform_seam {
  std::function<void(std::string key, reply_to<std::optional<stored_value>>)>
      get;
  /// `expect` is the version the key must have, 0 if it must not exist.
  /// `lease` may be empty.
  std::function<void(std::string key, std::string value, std::uint64_t expect,
                     std::string lease, reply_to<put_answer>)>
      put;
  std::function<void(std::string prefix, reply_to<stored_values>)> list;
  std::function<void(std::string prefix, std::uint64_t after, millis wait_ms,
                     reply_to<stored_values>)>
      watch;
  std::function<void(millis ttl_ms, reply_to<std::string>)> grant_lease;
  std::function<void(std::string lease, reply_to<done>)> renew_lease;
  std::function<void(std::string lease, reply_to<done>)> drop_lease;
  std::function<void(reply_to<live_list>)> live;
  std::function<void(reply_to<std::vector<platform_host>>)> hosts;
  /// Maintenance of one host. kConflict: its state does not allow the call.
  std::function<void(std::string host, reply_to<done>)> drain_host;
  std::function<void(std::string host, reply_to<done>)> undrain_host;
  /// Restarts the host at once, whatever runs on it.
  std::function<void(std::string host, reply_to<done>)> reboot_host;

  /// Jobs, which run beside the platform's clients. Not set: no jobs.
  std::function<void(job_start)> start_jobs;
  std::function<void(rpc::job_request, reply_to<rpc::job_answer>)> job;
  /// Hosts for new tasks, and every host of the fleet for what can never fit.
  /// No task starts on a host that the list excludes once it is answered.
  std::function<void(std::vector<job_host> hosts, reply_to<job_counts>)>
      set_job_hosts;
  /// Takes over the jobs of a failed control of this data centre.
  std::function<void(std::string host)> adopt_jobs;
};

}  // namespace radishwing::control
