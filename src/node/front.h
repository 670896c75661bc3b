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

/// Serves callers: submits jobs, tells their state, cancels them.
class front {
 public:
  /// `local_leader` returns this node's leader, or null.
  front(node_context& context, peer_link& peers,
        std::function<leader*()> local_leader);
  ~front();

  /// Answers one request of a caller.
  void Handle(const http::server_request& request,
              http::server::responder respond);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
