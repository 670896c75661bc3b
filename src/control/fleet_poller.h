#pragma once

#include <kj/async-io.h>

#include <map>
#include <string>

#include "src/control/build_table.h"
#include "src/control/control_options.h"
#include "src/control/runner_table.h"
#include "src/control/settings_keeper.h"
#include "src/control/store_port.h"

namespace radishwing::control {

/// Follows the live list, the hosts and the host records, and keeps the runner
/// table. While the platform is silent the last table stays. Used on the
/// decide thread.
class fleet_poller : private kj::TaskSet::ErrorHandler {
 public:
  fleet_poller(kj::Timer& timer, clock now, const control_options& options,
               store_port& store, settings_keeper& keeper, runner_table& table);

  void Start();
  void Stop() {
    tasks_ =
        kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
  }

  const table_sources& Sources() const { return sources_; }

  /// True once the live list, the hosts and the records were read.
  bool Complete() const {
    return live_known_ && records_known_ && !sources_.hosts.empty();
  }

  /// When the platform answered with a live list last, in ms of the clock.
  millis LiveReadMs() const { return live_read_ms_; }

  /// Since when `host` is missing from the live list, in ms of the clock; 0 if
  /// it is listed. A host that is never listed counts from the first list.
  millis AbsentSinceMs(const std::string& host) const;

  /// Takes a host record that was read or written elsewhere.
  void Observe(const stored_value& item) {
    TakeRecord(item);
    Rebuild();
  }

  /// Reads the hosts now. Resolves to false if the platform did not answer.
  kj::Promise<bool> RefreshHosts();

  /// Table version with which the record of `host` came into the table; 0 if
  /// it has none.
  std::uint64_t VersionOf(const std::string& host) const;

 private:
  void taskFailed(kj::Exception&& exception) override;
  kj::Promise<void> LiveLoop();
  kj::Promise<void> HostsLoop();
  kj::Promise<void> RecordsLoop();
  kj::Promise<void> RecordsWatch();
  void TakeLive(live_list list);
  void TakeRecord(const stored_value& item);
  void Rebuild();

  kj::Timer& timer_;
  clock clock_;
  const control_options& options_;
  store_port& store_;
  settings_keeper& keeper_;
  runner_table& table_;
  table_sources sources_;
  bool live_known_ = false;
  bool records_known_ = false;
  millis live_read_ms_ = 0;
  millis first_live_ms_ = 0;
  std::map<std::string, millis> seen_ms_;  // Last time on the live list.
  std::uint64_t records_revision_ = 0;
  std::map<std::string, std::uint64_t> epochs_in_table_;
  std::map<std::string, std::uint64_t> version_of_host_;
  kj::Own<kj::TaskSet> tasks_;
};

}  // namespace radishwing::control
