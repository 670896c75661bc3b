#pragma once

#include <kj/async-io.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/rpc/hello.h"
#include "src/rpc/radishwing.capnp.h"

namespace radishwing::rpc {

/// Closes the connection that an authenticated caller came over. May be called
/// after the connection has ended.
using connection_closer = std::function<void()>;

/// What the gate needs to know.
struct gate_options {
  std::string fleet_secret;
  hello self;
  /// A connection that has not joined by then is closed.
  millis join_deadline_ms = 5000;
  /// Above this, new connections are closed at once. 64 controls, the entry
  /// and its replacement need fewer than 128.
  std::size_t connections_max = 128;
};

/// Called on the loop thread after the caller proved the fleet secret. The
/// capability that is returned is dropped when the connection ends.
struct gate_hooks {
  std::function<EntrySession::Client(const hello&, connection_closer)> on_entry;
  std::function<Peer::Client(const hello&, connection_closer)> on_peer;
};

/// Accepts connections and gives out capabilities only to callers that prove
/// the fleet secret. Lives on a KJ loop thread.
class gate_server {
 public:
  gate_server(kj::AsyncIoContext& io, gate_options options, gate_hooks hooks);
  ~gate_server();
  gate_server(const gate_server&) = delete;
  gate_server& operator=(const gate_server&) = delete;

  /// Listens at "ip:port" and resolves to the address that was bound. Fails
  /// with a KJ exception.
  kj::Promise<std::string> Listen(std::string address);

  /// Replaces how this process introduces itself, once its address is known.
  void SetSelf(hello self);

  /// Accepts no more connections; the open ones continue.
  void StopListening();

  /// Open connections now.
  std::size_t Connections() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace radishwing::rpc
