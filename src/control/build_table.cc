#include "src/control/build_table.h"

#include <algorithm>
#include <set>

namespace radishwing::control {
namespace {

bool Accepts(const live_runner& runner, const host_view* record,
             const std::string& pool) {
  if (runner.leaving) return false;
  if (record == nullptr) return true;
  return record->state == "active" && record->pool == pool;
}

}  // namespace

std::vector<routing::runner_info> BuildTable(
    const table_sources& sources, const settings::fleet_settings& settings) {
  std::set<std::string> leaving;
  for (const auto& host : sources.live.hosts) {
    if (host.leaving) leaving.insert(host.host);
  }
  std::vector<routing::runner_info> table;
  for (const auto& runner : sources.live.runners) {
    auto service = settings.services.find(runner.service);
    if (service == settings.services.end()) continue;
    auto record = sources.records.find(runner.host);
    const host_view* view =
        record == sources.records.end() ? nullptr : &record->second;
    routing::runner_info info;
    info.id = runner.id;
    info.service = runner.service;
    info.host = runner.host;
    auto host = sources.hosts.find(runner.host);
    if (host != sources.hosts.end()) {
      info.data_centre = host->second.data_centre;
      info.rack = host->second.rack;
    } else if (view != nullptr) {
      info.data_centre = view->data_centre;
    }
    info.address = runner.address;
    info.slots = runner.slots;
    info.connections = runner.connections;
    info.accepts_work = Accepts(runner, view, service->second.pool) &&
                        !leaving.contains(runner.host);
    info.host_epoch = view == nullptr ? 0 : view->epoch;
    table.push_back(std::move(info));
  }
  std::sort(table.begin(), table.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return table;
}

std::uint64_t HostEpochs(const table_sources& sources) {
  std::uint64_t sum = 0;
  for (const auto& [host, record] : sources.records) sum += record.epoch;
  return sum;
}

}  // namespace radishwing::control
