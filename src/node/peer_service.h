#pragma once

#include <functional>

#include "platform/store_client.h"
#include "src/http/server.h"
#include "src/node/leader.h"
#include "src/node/node_context.h"
#include "src/node/peer_link.h"

namespace radishwing::node {

/// Handles requests from other nodes.
class peer_service {
 public:
  peer_service(node_context& context, std::function<leader*()> local_leader)
      : context_(context), local_leader_(std::move(local_leader)) {}

  void Handle(const http::server_request& request,
              http::server::responder respond);

 private:
  void RelayStoreCall(const std::string& body, http::server::responder respond);

  node_context& context_;
  std::function<leader*()> local_leader_;
};

/// Relays a store call through another node, trying a few of them one after
/// another. `sequence` is incremented by the caller for each call, which
/// rotates the node that is tried first.
void RelayThroughPeers(
    node_context& context, peer_link& peers, std::size_t sequence,
    platform::raw_store_request call,
    std::function<void(result<platform::raw_store_response>)> done);

}  // namespace radishwing::node
