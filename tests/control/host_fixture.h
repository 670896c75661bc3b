#pragma once

#include <boost/json.hpp>
#include <future>
#include <map>
#include <memory>
#include <string>

#include "src/control/host_steps.h"
#include "src/control/order_record.h"
#include "tests/control/test_entry.h"
#include "tests/control/test_fleet.h"

namespace radishwing::control {

/// Two data centres with an entry each. Data centre "dca" has the hosts text0
/// to text2, which run service "chat" of pool "text", and spare0.
struct host_fixture : test_fleet {
  std::map<std::string, std::unique_ptr<test_entry>> entries;

  host_fixture() {
    Publish(1);
    SetHosts();
    StartWithEntry("ctl-one", "dca");
    StartWithEntry("ctl-two", "dcb");
  }

  ~host_fixture() { entries.clear(); }

  void SetHosts(const std::string& without = "") {
    live_list live;
    std::vector<platform_host> hosts;
    for (const std::string name : {"text0", "text1", "text2", "spare0"}) {
      hosts.push_back({name, "dca", "rack-1", 16, 65536, 0});
      if (name == without) continue;
      live.hosts.push_back({name, false});
      if (name == "spare0") continue;
      live.runners.push_back({"run-" + name, "chat", name, "127.0.0.1:1"});
    }
    store.SetLive(std::move(live), std::move(hosts));
  }

  void StartWithEntry(const std::string& name, const std::string& centre) {
    Start(name, centre);
    entries[name] =
        std::make_unique<test_entry>(name, centre, network.Add(name));
  }

  /// State of the record of a host, or "none".
  std::string State(const std::string& host) {
    auto record = maintenance::ParseHostRecord(store.Read("host/dca/" + host));
    if (!Ok(record)) return "none";
    return std::string(maintenance::HostStateName(Value(record).state));
  }

  std::string Pool(const std::string& host) {
    auto record = maintenance::ParseHostRecord(store.Read("host/dca/" + host));
    return Ok(record) ? Value(record).pool : "";
  }

  /// Available hosts of a pool by its ledger; -1 without one.
  int Available(const std::string& pool) {
    auto ledger = maintenance::ParseLedgerRecord(store.Read("ledger/" + pool));
    return Ok(ledger) ? static_cast<int>(Value(ledger).Available()) : -1;
  }

  bool Adopted() {
    return Eventually(
        [&] { return Available("text") == 3 && Available("spare") == 1; });
  }

  /// Sends an order and returns its answer.
  result<boost::json::value> Send(const std::string& control,
                                  host_order order) {
    std::promise<result<boost::json::value>> answered;
    Get(control).Inspect([&](control_core& core) {
      core.Fleet().OrderHost(order, [&](result<boost::json::value> answer) {
        answered.set_value(std::move(answer));
      });
    });
    return answered.get_future().get();
  }

  /// Sends an order; true if it was recorded.
  bool Order(const std::string& control, host_order order) {
    return Ok(Send(control, std::move(order)));
  }

  std::string Note(const std::string& control, const std::string& host) {
    std::string note;
    Get(control).Inspect(
        [&](control_core& core) { note = core.Hosts().Note(host); });
    return note;
  }
};

}  // namespace radishwing::control
