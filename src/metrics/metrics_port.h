#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/base/result.h"
#include "src/metrics/metric_registry.h"

namespace radishwing::metrics {

/// What the metrics port asks the process. The hooks run on the thread
/// `metrics` and must not block.
struct metrics_hooks {
  /// True while the process accepts new work; a missing hook means true.
  std::function<bool()> ready;
  /// True while the process makes progress; a missing hook means true.
  std::function<bool()> healthy;
  /// Runs before each `/metrics`, to set gauges that are cheap to read.
  std::function<void()> before_scrape;
};

/// An HTTP port of its own with `/metrics`, `/healthz` and `/readyz`, on a
/// thread named `metrics`, so that it answers while the serving threads are
/// busy. It needs no authentication and must not be reachable by callers.
class metrics_port {
 public:
  /// Binds "ip:port"; port 0 picks a free port. `registry` must outlive the
  /// port.
  static result<std::unique_ptr<metrics_port>> Make(const std::string& address,
                                                    metric_registry& registry,
                                                    metrics_hooks hooks);
  /// Stops the thread.
  ~metrics_port();
  metrics_port(const metrics_port&) = delete;
  metrics_port& operator=(const metrics_port&) = delete;

  /// The bound "ip:port".
  std::string Address() const;

 private:
  struct impl;
  explicit metrics_port(std::unique_ptr<impl> impl);
  std::unique_ptr<impl> impl_;
};

}  // namespace radishwing::metrics
