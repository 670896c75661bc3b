#include "tests/control/test_fleet.h"

#include <chrono>
#include <thread>

#include "src/control/settings_record.h"

namespace radishwing::control {

control_process& test_fleet::Start(const std::string& name,
                                   const std::string& centre,
                                   const std::string& secret) {
  control_options options;
  options.host = name;
  options.data_centre = centre;
  options.incarnation = ++incarnation_;
  options.fleet_secret = secret;
  options.advertised_address = network.Add(name);
  options.peers = addresses_;
  control_timing& timing = options.timing;
  timing.members.heartbeat_ms = 100;
  timing.members.suspect_ms = 300;
  timing.members.failed_ms = 1000;
  timing.call_deadline_ms = 200;
  timing.store_deadline_ms = 500;
  timing.put_deadline_ms = 700;
  timing.watch_wait_ms = 1000;
  timing.lease_ttl_ms = 600;
  timing.lease_poll_ms = 100;
  timing.live_poll_ms = 100;
  timing.hosts_poll_ms = 200;
  timing.recovery_retry_ms = 300;
  timing.roster_grace_ms = 1200;
  timing.gone_bound_ms = 500;
  timing.entry_silent_ms = 1000;
  timing.duty_round_ms = 50;
  timing.host_absent_ms = 300;
  timing.drain_settle_ms = 200;
  timing.reboot_retry_ms = 1500;
  timing.cut_off_after_ms = 500;
  if (adjust) adjust(options);
  addresses_.push_back(options.advertised_address);
  auto made = control_process::Make(options, store.SeamFor(name));
  auto& control = controls_[name] = Value(std::move(made));
  network.SetTarget(name, control->RpcAddress());
  return *control;
}

void test_fleet::Publish(std::uint64_t revision) {
  store.Write(kSettingsKey,
              EncodeSettings({revision, SettingsText(),
                              "change-" + std::to_string(revision), "test"}));
}

std::uint64_t test_fleet::Revision(const std::string& name) {
  std::uint64_t revision = 0;
  Get(name).Inspect(
      [&](control_core& core) { revision = core.Settings().Revision(); });
  return revision;
}

std::string test_fleet::Sees(const std::string& name,
                             const std::string& other) {
  std::string state = "unknown";
  Get(name).Inspect([&](control_core& core) {
    const auto* row = core.Mesh().Members().Find(other);
    if (row != nullptr) state = membership::MemberStateName(row->state);
  });
  return state;
}

bool test_fleet::Eventually(const std::function<bool()>& condition) {
  auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return condition();
}

std::string test_fleet::SettingsText() {
  return R"({
    "fleet": {"name": "test", "preset": "deadline_surges",
              "identifier_retention_seconds": 600},
    "teams": {"uva": {"share": 0.5, "upper_limit": 12, "keys": []}},
    "pools": {"text": {"floor_hosts": 0, "target_hosts": 1},
              "spare": {"floor_hosts": 0, "target_hosts": 0, "spare": true}},
    "services": {"chat": {"pool": "text", "longest_run_seconds": 60}}
  })";
}

}  // namespace radishwing::control
