#pragma once

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"
#include "tools/platform_fake/fake_host.h"
#include "tools/platform_fake/lagged_value.h"

namespace radishwing::platform_fake {

/// State of a host towards the platform.
enum class host_state { kUp, kDraining, kRebooting, kFailed };

/// Hosts, their maintenance, and the live list, which lags behind.
class host_table {
 public:
  host_table(std::vector<fake_host> hosts, millis lag_ms, millis reboot_ms,
             millis now);

  /// The host's description, or null.
  const fake_host* Find(std::string_view host) const;
  host_state State(std::string_view host) const;

  /// Each returns false if the host does not exist or its state does not
  /// allow the change. A repeat is allowed, except of a reboot.
  bool Drain(std::string_view host, millis now);
  bool Undrain(std::string_view host, millis now);
  bool Reboot(std::string_view host, millis now);
  bool Fail(std::string_view host, millis now);
  /// Completes the reboots that are due.
  void Tick(millis now);

  /// Takes a runner's announcement of itself.
  void Announce(const boost::json::object& runner, millis now);

  boost::json::object HostsJson() const;
  boost::json::object LiveJson(millis now);

 private:
  struct entry {
    fake_host about;
    host_state state = host_state::kUp;
    millis up_at = 0;
    lagged_value<host_state> history;
  };
  struct runner_entry {
    lagged_value<boost::json::object> history;
    lagged_value<millis> seen;
  };

  bool Change(std::string_view host, host_state state, millis now);

  std::map<std::string, entry, std::less<>> hosts_;
  std::map<std::string, runner_entry, std::less<>> runners_;
  millis lag_ms_;
  millis reboot_ms_;
};

}  // namespace radishwing::platform_fake
