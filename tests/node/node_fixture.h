#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/http/client.h"
#include "src/node/node.h"
#include "tools/fleet_fake/run_ledger.h"
#include "tools/fleet_fake/store_stand_in.h"
#include "tools/fleet_fake/worker_stand_in.h"

namespace radishwing::node {

/// Nodes, a store and runners in one process and one event loop. Waits have no
/// bound of their own but a generous one against hanging for good.
struct node_fixture {
  node_fixture();
  ~node_fixture();

  /// Starts a node; returns its front address. `store_address`: where it
  /// reaches the store, the first address if empty.
  std::string AddNode(const std::string& name,
                      const std::string& store_address = "");
  /// Name of the leading node by the store, or an empty string.
  std::string Leader() const;
  /// Ends a node at once, as a kill does: its keys stay until their lease ends.
  void KillNode(const std::string& name);
  void PutConfig(const std::vector<std::string>& keys);
  /// Status of a call with the key "k1"; the body goes to `answer`.
  unsigned Call(const std::string& front, boost::beast::http::verb method,
                const std::string& target, const std::string& body = "",
                const std::string& key = "k1");
  /// Calls until the status is `status`; false if it never is.
  bool CallUntil(const std::string& front, boost::beast::http::verb method,
                 const std::string& target, unsigned status,
                 const std::string& body = "");
  /// Asks for the job's state until it is `state`; false if it never is.
  bool WaitForState(const std::string& front, const std::string& id,
                    const std::string& state);
  /// Runs the loop until `condition`; false if it never holds.
  bool RunUntil(const std::function<bool()>& condition);
  /// A job of two steps with `width` tasks each.
  static std::string Job(int width);

  boost::asio::io_context io;
  fleet_fake::run_ledger ledger;
  fleet_fake::store_stand_in store{io};
  std::vector<std::unique_ptr<fleet_fake::worker_stand_in>> workers;
  std::map<std::string, std::unique_ptr<node>> nodes;
  std::string answer;
  std::string retry_after;
  int version = 0;
};

}  // namespace radishwing::node
