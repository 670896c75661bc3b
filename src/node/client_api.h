#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/base/result.h"
#include "src/http/server.h"
#include "src/node/job_intake.h"
#include "src/node/leader.h"
#include "src/node/node_context.h"
#include "src/node/peer_link.h"

namespace radishwing::node {

/// Handles the requests of clients: submits and cancels jobs, and reports their
/// state and the number of pending ones.
class client_api {
 public:
  /// `local_leader` returns the leader object of this node, or null.
  client_api(node_context& context, peer_link& peers,
             std::function<leader*()> local_leader);
  ~client_api();

  /// Handles one client request.
  void Handle(const http::server_request& request,
              http::server::responder respond);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
