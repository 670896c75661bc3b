#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <string>

#include "src/rpc/gate_server.h"

namespace radishwing::rpc {

/// Longest message that is read, in 8-byte words: 4 MB. A settings tree has at
/// most 1 MB. The library allocates a message's declared length at once, so
/// that garbage could otherwise claim 64 MB for each connection.
inline constexpr std::uint64_t kMessageWordsMax = 512 * 1024;

/// Limits for messages from any other process.
capnp::ReaderOptions MessageLimits();

/// State of one handshake, shared between a connection and its gate.
struct gate_progress {
  bool joined = false;
  connection_closer close;
};

/// Makes the bootstrap capability of one connection. Each connection has a
/// gate of its own, whose nonce is used once.
Gate::Client MakeGate(const gate_options& options, const gate_hooks& hooks,
                      std::shared_ptr<gate_progress> progress);

}  // namespace radishwing::rpc
