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

  /// Starts a node and returns the address at which it serves clients. The node
  /// uses the store at `store_address`, or at its first address if that is
  /// empty.
  std::string AddNode(const std::string& name,
                      const std::string& store_address = "");
  /// Name of the leader as recorded in the store, or an empty string.
  std::string Leader() const;
  /// Destroys a node without a shutdown, like a killed process: its keys remain
  /// until their lease expires.
  void KillNode(const std::string& name);
  /// Stores a new version of the configuration with `keys` as the API keys.
  void PutConfig(const std::vector<std::string>& keys);
  /// Sends a request to the node at `front` and returns the status, or 0 if
  /// there was no response. Stores the body in `answer`.
  unsigned Call(const std::string& front, boost::beast::http::verb method,
                const std::string& target, const std::string& body = "",
                const std::string& key = "k1");
  /// Repeats a request until the status is `status`; false on a timeout.
  bool CallUntil(const std::string& front, boost::beast::http::verb method,
                 const std::string& target, unsigned status,
                 const std::string& body = "");
  /// Polls the job's state until it is `state`; false on a timeout.
  bool WaitForState(const std::string& front, const std::string& id,
                    const std::string& state);
  /// Runs the event loop until `condition` holds; false on a timeout.
  bool RunUntil(const std::function<bool()>& condition);
  /// A job of two steps with `width` tasks each.
  static std::string Job(int width);

  boost::asio::io_context io;
  fleet_fake::run_recorder recorder;
  fleet_fake::fake_store store{io};
  std::vector<std::unique_ptr<fleet_fake::fake_runner>> workers;
  std::map<std::string, std::unique_ptr<node_server>> nodes;
  std::string answer;       ///< Body of the last response.
  std::string retry_after;  ///< Retry-After header of the last response.
  int version = 0;          ///< Of the stored configuration.
};

}  // namespace radishwing::node
