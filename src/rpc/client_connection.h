#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <string>

#include "src/base/clock.h"
#include "src/rpc/hello.h"
#include "src/rpc/radishwing.capnp.h"

namespace radishwing::rpc {

/// The calling end of a connection to a gate. Lives on a KJ loop thread.
class client_connection {
 public:
  explicit client_connection(kj::Own<kj::AsyncIoStream> stream);

  /// The gate at the other end.
  Gate::Client Bootstrap();

  /// Resolves when the connection has ended.
  kj::Promise<void> Disconnected() { return network_.onDisconnect(); }

 private:
  kj::Own<kj::AsyncIoStream> stream_;
  capnp::TwoPartyVatNetwork network_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
};

/// Where and how to join.
struct join_options {
  std::string address;  ///< "ip:port" of the gate.
  std::string fleet_secret;
  hello self;
  millis deadline_ms = 2000;  ///< For connecting and the handshake together.
};

/// A session of an entry with its control.
struct joined_entry {
  kj::Own<client_connection> connection;
  EntrySession::Client session;
};

/// A connection of a control to another control.
struct joined_peer {
  kj::Own<client_connection> connection;
  Peer::Client peer;
  hello other;
};

/// Connects, proves the fleet secret and requires the other side's proof
/// before anything it sent is used. Rejects with a KJ exception.
kj::Promise<kj::Own<joined_entry>> JoinAsEntry(kj::AsyncIoContext& io,
                                               join_options options);
kj::Promise<kj::Own<joined_peer>> JoinAsPeer(kj::AsyncIoContext& io,
                                             join_options options);

}  // namespace radishwing::rpc
