#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/http/client.h"
#include "src/node/node_server.h"
#include "tools/fleet_fake/fake_runner.h"
#include "tools/fleet_fake/fake_store.h"
#include "tools/fleet_fake/run_recorder.h"

namespace radishwing::node {

/// Nodes, a store and runners in one process and one event loop. Waits have no
/// time limit except a long one that stops a hanging test.
struct node_fixture {
  node_fixture();
  ~node_fixture();

  /// Starts a node and returns the address of its client API. The node uses the
  /// store at `store_address`. If `store_address` is empty, the node uses the
  /// first address of `store`.
  std::string AddNode(const std::string& name,
                      const std::string& store_address = "");
  /// Returns the node name of the leader recorded in the store, or an empty
  /// string.
  std::string LeaderName() const;
  /// Destroys a node without a shutdown, like a killed process: its keys remain
  /// until their lease expires.
  void KillNode(const std::string& name);
  /// Stores a new version of the configuration with `keys` as the API keys. It
  /// has the queue at /q/ and `extra_queues` further ones at /extra-0/ and on.
  void PutConfig(const std::vector<std::string>& keys, int extra_queues = 0);
  /// Sends a request to the node at `client_api_address` and returns the
  /// status, or 0 if there was no response. Stores the body in `response_body`.
  unsigned Call(const std::string& client_api_address,
                boost::beast::http::verb method, const std::string& target,
                const std::string& body = "",
                const std::string& api_key = "k1");
  /// Repeats a request until the response status is `status`. Returns false on
  /// a timeout.
  bool CallUntil(const std::string& client_api_address,
                 boost::beast::http::verb method, const std::string& target,
                 unsigned status, const std::string& body = "");
  /// Polls the state of the job `id` until it is `state`. Returns false on a
  /// timeout.
  bool WaitForState(const std::string& client_api_address,
                    const std::string& id, const std::string& state);
  /// Runs the event loop until `condition` holds. Returns false on a timeout.
  bool RunUntil(const std::function<bool()>& condition);
  /// Returns the JSON of a job with two steps of `width` tasks each.
  static std::string JobBody(int width, const std::string& spec = "s");

  boost::asio::io_context io;
  fleet_fake::run_recorder recorder;  ///< Records the runs on all `runners`.
  fleet_fake::fake_store store{io};
  std::vector<std::unique_ptr<fleet_fake::fake_runner>> runners;
  /// Running nodes, keyed by node name.
  std::map<std::string, std::unique_ptr<node_server>> nodes;
  std::string response_body;  ///< Body of the last response.
  std::string retry_after;    ///< Retry-After header of the last response.
  int config_version = 0;     ///< Version of the stored configuration.
  /// Settings of the nodes that AddNode starts.
  double cores = 1;
  millis config_propagation_ms = 3000;
};

}  // namespace radishwing::node
