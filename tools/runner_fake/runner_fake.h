#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "src/base/result.h"
#include "tools/runner_fake/run_record.h"
#include "tools/runner_fake/runner_fault.h"
#include "tools/runner_fake/runner_options.h"

namespace radishwing::fake {

/// A backend server for tests and benchmarks (docs/design.md, 16.2). Owns one
/// thread; every method may be called from any thread.
class runner_fake {
 public:
  static result<std::unique_ptr<runner_fake>> Make(runner_options options);

  /// Stops at once, as if the process was killed.
  ~runner_fake();
  runner_fake(const runner_fake&) = delete;
  runner_fake& operator=(const runner_fake&) = delete;

  /// The bound "ip:port".
  std::string Address() const;

  /// Returns after the fault has taken effect.
  void SetFault(runner_fault fault);

  /// Closes the listener and every connection at once. Records stay readable.
  void Kill();

  std::vector<run_record> Records() const;

  /// Requests received, including rejected ones.
  std::uint64_t Attempts() const;

  /// Connections accepted since the start.
  std::uint64_t Connections() const;

 private:
  struct impl;
  explicit runner_fake(std::unique_ptr<impl> impl);
  std::unique_ptr<impl> impl_;
};

}  // namespace radishwing::fake
