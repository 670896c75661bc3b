#include "tools/platform_fake/host_table.h"

#include <boost/json/array.hpp>
#include <optional>
#include <utility>

namespace radishwing::platform_fake {
namespace {

// A runner announces itself every second; after three missed announcements it
// is no longer listed.
constexpr millis kRunnerSilenceMs = 3000;

std::string_view StateName(host_state state) {
  switch (state) {
    case host_state::kUp:
      return "up";
    case host_state::kDraining:
      return "draining";
    case host_state::kRebooting:
      return "rebooting";
    case host_state::kFailed:
      return "failed";
  }
  return "failed";
}

}  // namespace

host_table::host_table(std::vector<fake_host> hosts, millis lag_ms,
                       millis reboot_ms, millis now)
    : lag_ms_(lag_ms), reboot_ms_(reboot_ms) {
  for (fake_host& host : hosts) {
    entry& e = hosts_[host.host];
    e.about = std::move(host);
    e.history.Set(now - lag_ms, host_state::kUp);
  }
}

const fake_host* host_table::Find(std::string_view host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? nullptr : &found->second.about;
}

host_state host_table::State(std::string_view host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? host_state::kFailed : found->second.state;
}

bool host_table::Drain(std::string_view host, millis now) {
  const host_state state = State(host);
  return (state == host_state::kUp || state == host_state::kDraining) &&
         Change(host, host_state::kDraining, now);
}

bool host_table::Undrain(std::string_view host, millis now) {
  const host_state state = State(host);
  return (state == host_state::kUp || state == host_state::kDraining) &&
         Change(host, host_state::kUp, now);
}

bool host_table::Reboot(std::string_view host, millis now) {
  if (State(host) == host_state::kRebooting) return false;
  if (!Change(host, host_state::kRebooting, now)) return false;
  hosts_.find(host)->second.up_at = now + reboot_ms_;
  return true;
}

bool host_table::Fail(std::string_view host, millis now) {
  return Change(host, host_state::kFailed, now);
}

void host_table::Tick(millis now) {
  for (auto& [name, e] : hosts_) {
    if (e.state == host_state::kRebooting && now >= e.up_at) {
      Change(name, host_state::kUp, now);
    }
  }
}

void host_table::Announce(const boost::json::object& runner, millis now) {
  const auto& id = runner.at("id").as_string();
  runner_entry& e = runners_[std::string(id)];
  e.history.Set(now, runner);
  e.seen.Set(now, now);
}

boost::json::object host_table::HostsJson() const {
  boost::json::array hosts;
  for (const auto& [name, e] : hosts_) {
    hosts.push_back({{"host", name},
                     {"data_centre", e.about.data_centre},
                     {"rack", e.about.rack},
                     {"cores", e.about.cores},
                     {"memory_mb", e.about.memory_mb},
                     {"accelerators", e.about.accelerators},
                     {"state", StateName(e.state)}});
  }
  return {{"hosts", std::move(hosts)}};
}

boost::json::object host_table::LiveJson(millis now) {
  const millis when = now - lag_ms_;
  boost::json::array hosts;
  std::map<std::string, host_state, std::less<>> then;
  for (auto& [name, e] : hosts_) {
    const host_state state = e.history.At(when).value_or(host_state::kFailed);
    then[name] = state;
    if (state == host_state::kUp || state == host_state::kDraining) {
      const bool up = state == host_state::kUp;
      hosts.push_back({{"host", name}, {"state", up ? "live" : "leaving"}});
    }
  }
  boost::json::array runners;
  for (auto& [id, e] : runners_) {
    const auto runner = e.history.At(when);
    const auto seen = e.seen.At(when);
    if (!runner || !seen || when - *seen > kRunnerSilenceMs) continue;
    const auto* host = runner->if_contains("host");
    const auto state = then.find(
        host && host->is_string() ? std::string_view(host->as_string()) : "");
    if (state != then.end() && (state->second == host_state::kRebooting ||
                                state->second == host_state::kFailed)) {
      continue;
    }
    runners.push_back(*runner);
  }
  return {{"as_of_ms", when},
          {"hosts", std::move(hosts)},
          {"runners", std::move(runners)}};
}

bool host_table::Change(std::string_view host, host_state state, millis now) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return false;
  found->second.state = state;
  found->second.history.Set(now, state);
  return true;
}

}  // namespace radishwing::platform_fake
