#pragma once

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <string_view>

#include "tools/platform_fake/fake_task.h"
#include "tools/platform_fake/host_table.h"

namespace radishwing::platform_fake {

/// Tasks on hosts under leases. A task whose lease expires is lapsed, but its
/// worker goes on and reports at the end, as a worker that lost contact does.
class task_table {
 public:
  enum class start_outcome { kStarted, kExists, kNoHost, kHostNotUp, kNoRoom };

  task_table(const host_table& hosts, millis task_ms, millis lag_ms)
      : hosts_(hosts), task_ms_(task_ms), lag_ms_(lag_ms) {}

  /// Starts a task from its description. Throws std::exception if required
  /// members are missing.
  start_outcome Start(const boost::json::object& spec, millis now);

  /// The task, or null.
  const fake_task* Find(std::string_view id) const;

  /// Each returns false if the task does not run.
  bool Renew(std::string_view id, millis now);
  bool Stop(std::string_view id);
  bool Checkpoint(std::string_view id);
  bool Throttle(std::string_view id, double rate, millis now);
  /// Expires the task's lease now.
  bool Lapse(std::string_view id);

  /// Ends tasks, expires leases and fails the tasks of hosts that are down.
  void Tick(millis now);

  boost::json::object Json(const fake_task& task, millis now) const;
  std::size_t Running() const;

 private:
  bool HasRoom(const fake_task& task, const fake_host& host) const;
  fake_task* FindLive(std::string_view id);

  const host_table& hosts_;
  millis task_ms_;
  millis lag_ms_;
  std::map<std::string, fake_task, std::less<>> tasks_;
};

}  // namespace radishwing::platform_fake
