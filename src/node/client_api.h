#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/base/result.h"
#include "src/http/server.h"
#include "src/node/job_intake.h"
#include "src/node/leader.h"
#include "src/node/node_context.h"
#include "src/node/peer_client.h"

namespace radishwing::node {

/// Serves the HTTP requests of clients, which submit jobs, cancel them, and
/// query the state of a job or the number of pending jobs.
class client_api {
 public:
  /// `local_leader` returns the leader in this process, or null if this node
  /// does not lead.
  client_api(node_context& context, peer_client& peers,
             std::function<leader*()> local_leader);
  ~client_api();

  /// Carries out a request and passes the response to `respond`, possibly after
  /// this function has returned.
  void Handle(const http::server_request& request,
              http::server::responder respond);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
