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
  fleet_poller(kj::Timer& timer, const control_options& options,
               store_port& store, settings_keeper& keeper, runner_table& table);

  void Start();
  void Stop() {
    tasks_ =
        kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
  }

  const table_sources& Sources() const { return sources_; }

  /// Table version with which the record of `host` came into the table; 0 if
  /// it has none.
  std::uint64_t VersionOf(const std::string& host) const;

 private:
  void taskFailed(kj::Exception&& exception) override;
  kj::Promise<void> LiveLoop();
  kj::Promise<void> HostsLoop();
  kj::Promise<void> RecordsLoop();
  kj::Promise<void> RecordsWatch();
  void TakeRecord(const stored_value& item);
  void Rebuild();

  kj::Timer& timer_;
  const control_options& options_;
  store_port& store_;
  settings_keeper& keeper_;
  runner_table& table_;
  table_sources sources_;
  bool live_known_ = false;
  std::uint64_t records_revision_ = 0;
  std::map<std::string, std::uint64_t> epochs_in_table_;
  std::map<std::string, std::uint64_t> version_of_host_;
  kj::Own<kj::TaskSet> tasks_;
};

}  // namespace radishwing::control
