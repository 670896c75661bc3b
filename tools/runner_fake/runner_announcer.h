#pragma once

#include <memory>

#include "tools/runner_fake/runner_state.h"

namespace radishwing::fake {

/// Announces a fake runner to the platform every second by
/// `POST /v1/runners`. Runs on the runner's context.
class runner_announcer {
 public:
  runner_announcer(runner_state& state, std::string own_address);
  ~runner_announcer();

  void Start();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::fake
