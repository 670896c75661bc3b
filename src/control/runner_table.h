#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "src/routing/runner_info.h"

namespace radishwing::control {

/// The runner table that entries get, with its version. Versions start at the
/// incarnation of the control, so that an entry never takes a table of a
/// restarted control for an older one. Used on the decide thread.
class runner_table {
 public:
  explicit runner_table(std::uint64_t incarnation) : version_(incarnation) {}

  /// Replaces the table if it differs. `host_epochs` is the sum of the epochs
  /// of all host records that it was built from.
  void Replace(std::vector<routing::runner_info> runners,
               std::uint64_t host_epochs);

  /// 0 until the first table was built.
  std::uint64_t Version() const { return built_ ? version_ : 0; }
  const std::vector<routing::runner_info>& Runners() const { return runners_; }

  /// The sum of host epochs in the newest table up to `version`; 0 if that is
  /// not known.
  std::uint64_t HostEpochsAt(std::uint64_t version) const;

  void OnChange(std::function<void()> listener) {
    listeners_.push_back(std::move(listener));
  }

 private:
  std::uint64_t version_;
  bool built_ = false;
  std::vector<routing::runner_info> runners_;
  std::map<std::uint64_t, std::uint64_t> epochs_by_version_;
  std::vector<std::function<void()>> listeners_;
};

}  // namespace radishwing::control
