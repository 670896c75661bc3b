#pragma once

#include <kj/async-io.h>

#include <string>

#include "src/control/duty_lease.h"
#include "src/control/peer_mesh.h"
#include "src/control/settings_keeper.h"
#include "src/control/store_port.h"

namespace radishwing::control {

/// Brings new settings from the store to this control and its neighbours. The
/// holder of `lease/settings/<data_centre>` watches the store and pushes;
/// everybody fetches from a peer whose digest shows a newer revision. Used on
/// the decide thread.
class settings_relay : private kj::TaskSet::ErrorHandler {
 public:
  settings_relay(kj::Timer& timer, clock now, const control_options& options,
                 store_port& store, peer_mesh& mesh, settings_keeper& keeper);

  /// Starts the duty and the first read.
  void Start();

  /// Another control knows `revision`.
  void OnDigest(const std::string& from, std::uint64_t revision);

  bool HoldsWatch() { return lease_.Held(); }

  /// Stops the duty and gives the lease up.
  kj::Promise<void> Stop();

 private:
  void taskFailed(kj::Exception&& exception) override;
  kj::Promise<void> FirstRead();
  kj::Promise<void> ReadStore();
  kj::Promise<void> WatchLoop();
  void OfferStored(const std::string& value);
  void PushToNeighbours();
  void Push(const std::string& host);
  kj::Promise<void> Fetch(std::string from);

  kj::Timer& timer_;
  const control_options& options_;
  store_port& store_;
  peer_mesh& mesh_;
  settings_keeper& keeper_;
  duty_lease lease_;
  std::uint64_t watched_version_ = 0;  // Store revision seen last.
  bool fetching_ = false;
  kj::Promise<void> watching_ = nullptr;
  kj::Own<kj::TaskSet> tasks_;
};

}  // namespace radishwing::control
