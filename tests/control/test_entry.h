#pragma once

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "src/rpc/entry_link.h"

namespace radishwing::control {

/// An entry with calls that wait for their answer.
class test_entry {
 public:
  test_entry(const std::string& host, const std::string& centre,
             const std::string& control_address,
             std::uint64_t incarnation = 5000)
      : owner(host + '#' + std::to_string(incarnation)) {
    rpc::entry_link_options options;
    options.host = host;
    options.data_centre = centre;
    options.incarnation = incarnation;
    options.control_address = control_address;
    options.fleet_secret = "fleet secret";
    options.call_deadline_ms = 1000;
    options.report_interval_ms = 100;
    options.reconnect_ms = 50;
    rpc::entry_link_hooks hooks;
    hooks.on_connected = [this](bool open) {
      if (open) ++sessions;
      connected = open;
    };
    hooks.on_snapshot = [this](rpc::snapshot snapshot) {
      revision = snapshot.settings->revision;
      table_version = snapshot.table_version;
    };
    hooks.make_report = [this] {
      rpc::entry_report report;
      report.settings_revision = revision;
      report.table_version = table_version;
      if (in_flight > 0) report.in_flight.push_back({busy_host, in_flight});
      return report;
    };
    hooks.on_cancel = [this](std::string_view, std::string_view) { ++cancels; };
    auto made = rpc::entry_link::Make(options, hooks);
    link = Value(std::move(made));
  }

  /// Tokens granted; 0 if there was no answer.
  std::uint32_t Acquire(const std::string& team, std::uint32_t want) {
    auto answer = Wait<rpc::token_grant>(
        [&](auto done) { link->AcquireTokens(team, want, std::move(done)); });
    return answer && Ok(*answer) ? Value(*answer).count : 0;
  }

  requests::claim_answer Claim(const std::string& id,
                               const std::string& digest = "d") {
    auto answer = Wait<requests::claim_answer>([&](auto done) {
      link->Claim({id, "uva", digest, owner + "/" + std::to_string(++claims)},
                  std::move(done));
    });
    return answer && Ok(*answer) ? Value(*answer) : requests::claim_answer();
  }

  bool Cancel(const std::string& id) {
    auto answer = Wait<bool>(
        [&](auto done) { link->CancelRequest(id, "uva", std::move(done)); });
    return answer && Ok(*answer) && Value(*answer);
  }

  std::string owner;
  int claims = 0;
  std::string busy_host;  ///< Set before `in_flight`.
  std::atomic<std::uint32_t> in_flight{0};
  std::atomic<bool> connected{false};
  std::atomic<int> sessions{0};
  std::atomic<int> cancels{0};
  std::atomic<std::uint64_t> revision{0};
  std::atomic<std::uint64_t> table_version{0};
  std::unique_ptr<rpc::entry_link> link;  // Last: its hooks use the others.

 private:
  template <typename T, typename Start>
  std::optional<result<T>> Wait(Start start) {
    auto answer = std::make_shared<std::promise<result<T>>>();
    start(std::function<void(result<T>)>(
        [answer](result<T> value) { answer->set_value(std::move(value)); }));
    auto future = answer->get_future();
    if (future.wait_for(std::chrono::seconds(20)) !=
        std::future_status::ready) {
      return std::nullopt;
    }
    return future.get();
  }
};

}  // namespace radishwing::control
