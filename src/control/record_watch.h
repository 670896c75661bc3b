#pragma once

#include <kj/async-io.h>

#include <functional>
#include <map>
#include <string>

#include "src/control/change_signal.h"
#include "src/control/control_options.h"
#include "src/control/store_port.h"

namespace radishwing::control {

/// A copy of all keys under one prefix, kept by a watch. The copy may lag;
/// every write on its basis is checked by its own compare-and-swap. Used on the
/// decide thread.
class record_watch : private kj::TaskSet::ErrorHandler {
 public:
  record_watch(kj::Timer& timer, const control_options& options,
               store_port& store, std::string prefix);

  void Start() { tasks_->add(ReadLoop()); }
  void Stop() {
    tasks_ =
        kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
  }

  /// True once everything was read.
  bool Known() const { return known_; }

  /// The values by key.
  const std::map<std::string, stored_value>& Items() const { return items_; }

  /// Called for each value that was read or seen.
  std::function<void(const stored_value&)> on_item;

  /// Waits this long between two changes that follow each other, so that a
  /// burst of writes costs few calls. The first of a burst is seen at once.
  millis spacing_ms = 0;

  /// Ends such a wait: others already act on a newer value.
  void Hurry() { hurry_.Raise(); }

  /// Takes a value that was read or written elsewhere.
  void Observe(const stored_value& item);

 private:
  void taskFailed(kj::Exception&& exception) override;
  kj::Promise<void> ReadLoop();
  kj::Promise<void> WatchLoop();
  kj::Promise<void> Pause();
  kj::Promise<void> Space();

  kj::Timer& timer_;
  const control_options& options_;
  store_port& store_;
  std::string prefix_;
  change_signal hurry_;
  millis seen_ms_ = 0;  // Timer time of the last change.
  bool known_ = false;
  std::uint64_t revision_ = 0;
  std::map<std::string, stored_value> items_;
  kj::Own<kj::TaskSet> tasks_;
};

}  // namespace radishwing::control
