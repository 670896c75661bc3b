#pragma once

#include <functional>

#include "platform/store_client.h"
#include "src/http/server.h"
#include "src/node/leader.h"
#include "src/node/node_context.h"
#include "src/node/peer_client.h"
#include "src/sched/relay_choice.h"

namespace radishwing::node {

/// Responds to requests from other nodes: relays their calls to the store and,
/// while this node leads, passes notices and queries about jobs to the leader.
class peer_service {
 public:
  /// `local_leader` returns the leader object of this node, or null.
  peer_service(node_context& context, std::function<leader*()> local_leader)
      : context_(context), local_leader_(std::move(local_leader)) {}

  /// Responds to one request through `respond`.
  void Handle(const http::server_request& request,
              http::server::responder respond);

 private:
  /// Sends the store call that is encoded in `body` and responds with its
  /// result.
  void RelayStoreCall(const std::string& body, http::server::responder respond);

  node_context& context_;
  /// Returns the leader object of this node, or null if it does not lead.
  std::function<leader*()> local_leader_;
};

/// Sends a store call through another node, which relays it to the store; tries
/// a few nodes one after another, those that `choice` selects. `choice` has to
/// live as long as `peers`.
void RelayThroughPeers(
    node_context& context, peer_client& peers, sched::relay_choice& choice,
    platform::raw_store_request call,
    std::function<void(result<platform::raw_store_response>)> done);

}  // namespace radishwing::node
