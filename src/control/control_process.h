#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/base/result.h"
#include "src/control/control_options.h"
#include "src/control/platform_seam.h"
#include "src/routing/runner_info.h"
#include "src/rpc/settings_text.h"

namespace radishwing::control {

class control_core;

/// A control process without its command line: the decide thread with all of
/// the control's state. Several can live in one process for tests.
class control_process {
 public:
  /// Starts the thread and listens. Fails if the address cannot be bound.
  /// Replies of `platform` that come after the destruction are ignored.
  static result<std::unique_ptr<control_process>> Make(control_options options,
                                                       platform_seam platform);
  ~control_process();
  control_process(const control_process&) = delete;
  control_process& operator=(const control_process&) = delete;

  /// "ip:port" that was bound for entries and other controls.
  const std::string& RpcAddress() const;

  /// Gives up tokens, leases and memberships, then runs `completion` on the
  /// decide thread. Entries and peers are served until then; what the store
  /// does not confirm in time is left to the recovery by others.
  void Stop(std::function<void()> completion);

  /// Runs `action` on the decide thread later. Returns false and drops it if
  /// the ring to that thread is full. Callable from any thread.
  bool Post(std::function<void(control_core&)> action);

  /// Runs `action` on the decide thread and waits for it. For the operator
  /// port and tests.
  void Inspect(std::function<void(control_core&)> action);

 private:
  struct impl;
  explicit control_process(std::unique_ptr<impl> impl);
  std::unique_ptr<impl> impl_;
};

}  // namespace radishwing::control
