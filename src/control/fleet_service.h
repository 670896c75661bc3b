#pragma once

#include <kj/async-io.h>

#include <boost/json/object.hpp>
#include <string>

#include "src/control/host_board.h"
#include "src/control/operator_hooks.h"
#include "src/control/store_port.h"

namespace radishwing::control {

/// What operators see of hosts and pools, and their orders to hosts. An order
/// is recorded in the store by any control; the host duty of the host's data
/// centre carries it out. Used on the decide thread.
class fleet_service : private kj::TaskSet::ErrorHandler {
 public:
  fleet_service(store_port& store, host_board& board)
      : store_(store), board_(board), tasks_(*this) {}

  void ListHosts(json_completion completion);
  void ShowHost(const std::string& host, json_completion completion);
  void OrderHost(host_order order, json_completion completion);
  void ListPools(json_completion completion);
  void ShowPool(const std::string& pool, json_completion completion);

 private:
  void taskFailed(kj::Exception&& exception) override;
  boost::json::object Host(const std::string& host);
  boost::json::object Pool(const std::string& pool);
  /// Why the order is refused at once; empty if it is not.
  /// Why an order for a host without a record cannot be taken.
  failure NoRecord(const std::string& host);
  std::string Refusal(const host_order& order);

  store_port& store_;
  host_board& board_;
  kj::TaskSet tasks_;  // Last, so that it is destroyed first.
};

}  // namespace radishwing::control
