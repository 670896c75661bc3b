#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "src/base/clock.h"
#include "src/control/platform_seam.h"

namespace radishwing::control {

/// The platform in memory, with a fault for each control that uses it.
class fake_store {
 public:
  enum class fault {
    kNone,
    kDown,         ///< Refuses at once; nothing is done.
    kSilent,       ///< Never answers.
    kSlow,         ///< Answers after 100 ms, a sixth of a lease.
    kLoseAnswers,  ///< Writes take effect, their answers are lost.
  };

  fake_store();
  ~fake_store();

  /// The platform as the control `who` sees it.
  platform_seam SeamFor(const std::string& who);

  void SetFault(const std::string& who, fault f);
  void SetFaultForAll(fault f);

  /// Writes a key without any check.
  void Write(const std::string& key, const std::string& value);
  std::string Read(const std::string& key);
  void SetLive(live_list list, std::vector<platform_host> hosts);

  /// Each reboot as "<host>:<state of its record>".
  std::vector<std::string> Reboots();

  /// Changes the state of a host on the platform.
  void SetHostState(const std::string& host, platform_state state);

  /// Successful writes of keys with this prefix.
  int Writes(const std::string& prefix);

 private:
  struct lease_state {
    millis ttl_ms = 0;
    millis ends_ms = 0;
  };
  struct watcher {
    std::string who;
    std::string prefix;
    std::uint64_t after = 0;
    millis ends_ms = 0;
    reply_to<stored_values> reply;
  };
  struct later {
    millis at_ms = 0;
    std::function<void()> run;
  };

  fault FaultOf(const std::string& who);
  // Runs `action` under the lock and replies with its value, as the fault says.
  template <typename T>
  void Serve(const std::string& who, bool writes, reply_to<T> reply,
             std::function<result<T>()> action);
  put_answer Put(const std::string& key, const std::string& value,
                 std::uint64_t expect, const std::string& lease);
  void Store(const std::string& key, const std::string& value, bool deleted);
  stored_values Changes(const std::string& prefix, std::uint64_t after,
                        bool deleted_too);
  void ExpireLeases();
  void ChangeHost(const std::string& host, platform_state state);
  void Reboot(const std::string& host);
  void Main();

  clock clock_ = clock::Monotonic();
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stop_ = false;
  std::map<std::string, fault> faults_;
  fault fault_for_all_ = fault::kNone;
  std::map<std::string, stored_value> values_;
  std::map<std::string, std::string> lease_of_key_;
  std::map<std::string, lease_state> leases_;
  std::map<std::string, int> writes_;
  std::uint64_t revision_ = 0;
  std::uint64_t next_lease_ = 1;
  std::vector<watcher> watchers_;
  std::vector<later> later_;
  live_list live_;
  std::vector<platform_host> hosts_;
  std::vector<std::string> reboots_;
  std::thread thread_;
};

}  // namespace radishwing::control
