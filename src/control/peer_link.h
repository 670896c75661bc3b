#pragma once

#include <kj/async-io.h>

#include <functional>
#include <string>

#include "src/rpc/client_connection.h"

namespace radishwing::control {

/// The outgoing connection to one other control. It is never waited for: when
/// a call over it exceeds its deadline it is dropped, and the next heartbeat
/// opens a new one. Used on the decide thread.
class peer_link : private kj::TaskSet::ErrorHandler {
 public:
  peer_link(kj::AsyncIoContext& io, rpc::join_options options,
            std::function<void(const rpc::hello&)> on_joined);

  /// Starts to connect, unless it is connected or connecting.
  void Open();

  /// Resolves when it is connected; rejects if that fails.
  kj::Promise<void> Opened();

  /// Ends the connection. Calls in progress fail.
  void Break(const std::string& reason);

  bool IsOpen() const { return joined_.get() != nullptr; }

  /// The other control. Requires IsOpen().
  rpc::Peer::Client Peer() { return joined_->peer; }

  /// Who answered last; empty before the first connection.
  const rpc::hello& Other() const { return other_; }

  const std::string& Address() const { return options_.address; }

  /// True while a heartbeat is on its way.
  bool heartbeat_sent = false;

  /// Ticks in a row at which no heartbeat was necessary.
  int heartbeats_skipped = 0;

 private:
  void taskFailed(kj::Exception&& exception) override;
  void Joined(kj::Own<rpc::joined_peer> joined);

  kj::AsyncIoContext& io_;
  rpc::join_options options_;
  std::function<void(const rpc::hello&)> on_joined_;
  rpc::hello other_;
  kj::Own<rpc::joined_peer> joined_;
  bool opening_ = false;
  bool failure_logged_ = false;
  std::uint64_t generation_ = 0;
  std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiting_;
  kj::TaskSet tasks_;
};

}  // namespace radishwing::control
