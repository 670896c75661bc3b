#pragma once

#include <cstdint>
#include <string>

#include "src/base/clock.h"

namespace radishwing::platform {

/// A task to start. The caller chooses the id, so that a repeat is recognised.
struct task_spec {
  std::string id;
  std::string service;
  std::string team;
  std::string host;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  std::string body;
  millis lease_ms = 30000;
  bool preemptible = false;
};

}  // namespace radishwing::platform
