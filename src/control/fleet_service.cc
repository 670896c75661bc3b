#include "src/control/fleet_service.h"

#include <boost/json.hpp>
#include <set>
#include <utility>

#include "src/base/log.h"
#include "src/control/record_swap.h"

namespace radishwing::control {
namespace {

namespace json = boost::json;

failure Unknown(const std::string& what, const std::string& name) {
  return {failure_kind::kNotFound, what + " \"" + name + "\" is not known"};
}

}  // namespace

json::object fleet_service::Host(const std::string& host) {
  json::object shown = {{"host", host}};
  const table_sources& sources = board_.Poller().Sources();
  auto info = sources.hosts.find(host);
  if (info != sources.hosts.end()) {
    shown["data_centre"] = info->second.data_centre;
    shown["rack"] = info->second.rack;
  }
  if (const auto* record = board_.Record(host)) {
    shown["data_centre"] = record->data_centre;
    shown["rack"] = record->rack;
    shown["pool"] = record->pool;
    shown["state"] = maintenance::HostStateName(record->state);
    shown["epoch"] = record->epoch;
    shown["change_id"] = record->change_id;
  } else {
    shown["pool"] = "";
    shown["state"] = "unknown";
    shown["epoch"] = 0;
    shown["change_id"] = "";
  }
  auto order = board_.Order(host);
  shown["operator_change_id"] = order ? order->order.change_id : "";
  shown["in_flight"] = board_.InFlight(host);
  shown["note"] = board_.Note(host);
  return shown;
}

void fleet_service::ListHosts(json_completion completion) {
  std::set<std::string> names;
  const table_sources& sources = board_.Poller().Sources();
  for (const auto& [host, info] : sources.hosts) names.insert(host);
  for (const auto& [host, record] : sources.records) names.insert(host);
  json::array hosts;
  for (const std::string& host : names) hosts.push_back(Host(host));
  completion(json::value(std::move(hosts)));
}

void fleet_service::ShowHost(const std::string& host,
                             json_completion completion) {
  const table_sources& sources = board_.Poller().Sources();
  if (!sources.hosts.contains(host) && !sources.records.contains(host)) {
    return completion(Unknown("host", host));
  }
  completion(json::value(Host(host)));
}

std::string fleet_service::Refusal(const host_order& order) {
  if (order.action != host_order::verb::kMove) return "";
  const auto& tree = board_.Keeper().Tree();
  if (!tree || !tree->pools.contains(order.pool)) {
    return "pool \"" + order.pool + "\" does not exist";
  }
  return "";
}

failure fleet_service::NoRecord(const std::string& host) {
  const auto& hosts = board_.Poller().Sources().hosts;
  auto info = hosts.find(host);
  if (info == hosts.end()) return Unknown("host", host);
  return {failure_kind::kUnavailable,
          "host \"" + host +
              "\" has no record yet; the controls of data centre " +
              info->second.data_centre +
              " create it within half a minute of their start, try again"};
}

void fleet_service::OrderHost(host_order order, json_completion completion) {
  const auto& records = board_.Poller().Sources().records;
  auto record = records.find(order.host);
  if (record == records.end()) {
    return completion(NoRecord(order.host));
  }
  if (std::string reason = Refusal(order); !reason.empty()) {
    return completion(failure{failure_kind::kInvalid, reason});
  }
  record_swap swap;
  swap.key = OrderKey(record->second.data_centre, order.host);
  swap.seen = [this](const stored_value& item) {
    board_.Orders().Observe(item);
  };
  swap.next =
      [order](
          const std::optional<stored_value>& current) -> result<std::string> {
    if (current) {
      // A repeat must not start an order again that was carried out.
      auto held = ParseOrderRecord(current->value);
      if (Ok(held) && Value(held).order.change_id == order.change_id) {
        return current->value;
      }
    }
    return FormatOrderRecord({order, true});
  };
  tasks_.add(SwapRecord(store_, std::move(swap))
                 .then([this, order, completion](result<stored_value> stored) {
                   if (!Ok(stored)) return completion(Error(stored));
                   LogInfo("operator", "order recorded, host=" + order.host +
                                           " change=" + order.change_id);
                   completion(json::value(Host(order.host)));
                 }));
}

json::object fleet_service::Pool(const std::string& pool) {
  json::object shown = {{"pool", pool}};
  std::uint32_t floor = 0;
  std::uint32_t target = 0;
  bool spare = false;
  if (const auto& tree = board_.Keeper().Tree(); tree) {
    auto settings = tree->pools.find(pool);
    if (settings != tree->pools.end()) {
      floor = settings->second.floor_hosts;
      target = settings->second.target_hosts;
      spare = settings->second.spare;
    }
  }
  json::object unavailable;
  const auto* ledger = board_.Ledger(pool);
  if (ledger != nullptr) {
    for (const auto& [host, reason] : ledger->unavailable) {
      unavailable[host] = reason;
    }
  }
  shown["hosts"] = ledger == nullptr ? 0 : ledger->hosts.size();
  shown["available"] = ledger == nullptr ? 0 : ledger->Available();
  shown["floor_hosts"] = floor;
  shown["target_hosts"] = target;
  shown["unavailable"] = std::move(unavailable);
  shown["spare"] = spare;
  shown["rack_in_wave"] = ledger == nullptr ? "" : ledger->rack_in_wave;
  return shown;
}

void fleet_service::ListPools(json_completion completion) {
  json::array pools;
  if (const auto& tree = board_.Keeper().Tree(); tree) {
    for (const auto& [name, pool] : tree->pools) pools.push_back(Pool(name));
  }
  completion(json::value(std::move(pools)));
}

void fleet_service::ShowPool(const std::string& pool,
                             json_completion completion) {
  const auto& tree = board_.Keeper().Tree();
  if ((!tree || !tree->pools.contains(pool)) &&
      board_.Ledger(pool) == nullptr) {
    return completion(Unknown("pool", pool));
  }
  completion(json::value(Pool(pool)));
}

void fleet_service::taskFailed(kj::Exception&& exception) {
  LogError("operator", std::string("task failed, reason=") +
                           exception.getDescription().cStr());
}

}  // namespace radishwing::control
