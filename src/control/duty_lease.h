#pragma once

#include <kj/async-io.h>

#include <functional>
#include <string>

#include "src/control/control_options.h"
#include "src/control/store_port.h"

namespace radishwing::control {

/// Competes for one duty, such as the watch of the settings, so that usually
/// one control of several does it. Only avoids duplicate work: a holder that
/// was paused may still act for a moment, and every write it makes is checked
/// by its own compare-and-swap. Used on the decide thread.
class duty_lease {
 public:
  /// `key` is the store key `lease/<duty>`, `holder` the value it gets.
  duty_lease(kj::Timer& timer, clock now, const control_timing& timing,
             store_port& store, std::string key, std::string holder);

  /// Called when the duty is gained (true) or lost (false).
  std::function<void(bool)> on_change;

  /// Runs until the promise is dropped.
  kj::Promise<void> Run();

  /// True while this control has the duty by its own clock.
  bool Held();

  /// Gives the duty up; the promise of Run must have been dropped before.
  kj::Promise<void> Release();

 private:
  kj::Promise<void> Step();
  kj::Promise<void> Wait();
  kj::Promise<void> TryAcquire();
  kj::Promise<void> Save();
  kj::Promise<void> CheckSaved();
  kj::Promise<void> Renew();
  void Gained();
  void Lost(const std::string& reason);
  kj::Promise<void> DropLease();

  kj::Timer& timer_;
  clock clock_;
  const control_timing& timing_;
  store_port& store_;
  std::string key_;
  std::string holder_;
  std::string value_;      // Written last; its change id makes it unique.
  std::string lease_;      // Empty without a platform lease.
  millis renewed_ms_ = 0;  // When the last successful renewal was sent.
  bool held_ = false;
  std::uint64_t others_version_ = 0;  // Of another holder's key; 0: none.
};

}  // namespace radishwing::control
