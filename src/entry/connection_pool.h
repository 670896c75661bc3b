#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::entry {

class runner_connection;

/// The connections from this entry to one runner.
class connection_pool {
 public:
  /// A non-idempotent request only uses a connection idle for less than this,
  /// so that it is unlikely to have been closed by the runner meanwhile.
  static constexpr millis kFreshMs = 1000;

  /// The connection that became idle last, or nullptr. `fresh` demands one
  /// that has been idle for less than kFreshMs.
  std::shared_ptr<runner_connection> Take(millis now, bool fresh);

  /// Keeps an idle connection for later requests.
  void Put(std::shared_ptr<runner_connection> connection);

  /// Forgets a connection that was closed.
  void Remove(const runner_connection* connection);

  /// Closes every idle connection.
  void CloseIdle();

  /// Closes connections that have been idle since before `before`.
  void CloseIdleSince(millis before);

  std::uint32_t Open() const { return open_; }
  void CountOpened() { ++open_; }
  void CountClosed() { --open_; }

 private:
  std::uint32_t open_ = 0;
  std::vector<std::shared_ptr<runner_connection>> idle_;
};

}  // namespace radishwing::entry
