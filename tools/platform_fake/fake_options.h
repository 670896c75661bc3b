#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "tools/platform_fake/fake_host.h"

namespace radishwing::platform_fake {

/// Settings of one fake platform.
struct fake_options {
  std::string address = "127.0.0.1:0";
  std::vector<fake_host> hosts;
  millis lag_ms = 1000;  ///< Age of the live list and of usage figures.
  /// Calls to the store per second; 0 means no limit. The defaults are the
  /// platform's stated capacity.
  std::uint32_t reads_per_s = 2000;
  std::uint32_t writes_per_s = 400;
  millis reboot_ms = 3000;
  millis task_ms = 1000;  ///< Run time of a task whose body names none.
  radishwing::clock clock = radishwing::clock::Monotonic();
};

}  // namespace radishwing::platform_fake
