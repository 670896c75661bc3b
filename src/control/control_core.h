#pragma once

#include <kj/async-io.h>

#include <memory>
#include <string>

#include "src/control/control_options.h"
#include "src/control/entry_registry.h"
#include "src/control/runner_table.h"
#include "src/control/settings_keeper.h"
#include "src/rpc/gate_server.h"

namespace radishwing::control {

/// All state of a control process and the duties that change it. Lives on the
/// decide thread.
class control_core : private kj::TaskSet::ErrorHandler {
 public:
  control_core(kj::AsyncIoContext& io, control_options options);

  /// Listens for entries and other controls; resolves to the bound address.
  kj::Promise<std::string> Listen();

  settings_keeper& Settings() { return settings_; }
  runner_table& Table() { return table_; }
  entry_registry& Entries() { return entries_; }

 private:
  void taskFailed(kj::Exception&& exception) override;
  void Tick();

  kj::AsyncIoContext& io_;
  control_options options_;
  clock clock_ = clock::Monotonic();
  settings_keeper settings_;
  runner_table table_;
  entry_registry entries_;
  rpc::gate_server gate_;
  kj::TaskSet tasks_;  // Last, so that it is destroyed first.
};

}  // namespace radishwing::control
