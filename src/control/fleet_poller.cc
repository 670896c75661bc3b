#include "src/control/fleet_poller.h"

#include <algorithm>
#include <utility>

#include "src/base/log.h"

namespace radishwing::control {
namespace {

constexpr const char* kHostPrefix = "host/";

}  // namespace

fleet_poller::fleet_poller(kj::Timer& timer, clock now,
                           const control_options& options, store_port& store,
                           settings_keeper& keeper, runner_table& table)
    : timer_(timer),
      clock_(std::move(now)),
      options_(options),
      store_(store),
      keeper_(keeper),
      table_(table),
      tasks_(kj::heap<kj::TaskSet>(
          static_cast<kj::TaskSet::ErrorHandler&>(*this))) {
  keeper_.OnChange([this] { Rebuild(); });
}

void fleet_poller::Start() {
  tasks_->add(HostsLoop());
  tasks_->add(RecordsLoop());
  tasks_->add(LiveLoop());
}

kj::Promise<void> fleet_poller::LiveLoop() {
  return store_.Live()
      .then([this](result<live_list> list) {
        if (Ok(list)) {
          TakeLive(std::move(Value(list)));
          Rebuild();
        }
        return timer_.afterDelay(options_.timing.live_poll_ms *
                                 kj::MILLISECONDS);
      })
      .then([this] { return LiveLoop(); });
}

kj::Promise<void> fleet_poller::HostsLoop() {
  return RefreshHosts()
      .then([this](bool) {
        millis wait = sources_.hosts.empty() ? options_.timing.live_poll_ms
                                             : options_.timing.hosts_poll_ms;
        return timer_.afterDelay(wait * kj::MILLISECONDS);
      })
      .then([this] { return HostsLoop(); });
}

kj::Promise<bool> fleet_poller::RefreshHosts() {
  return store_.Hosts().then([this](result<std::vector<platform_host>> list) {
    if (!Ok(list)) return false;
    sources_.hosts.clear();
    for (auto& host : Value(list)) {
      sources_.hosts[host.host] = std::move(host);
    }
    Rebuild();
    return true;
  });
}

void fleet_poller::TakeLive(live_list list) {
  live_read_ms_ = clock_.Now();
  if (!live_known_) first_live_ms_ = live_read_ms_;
  live_known_ = true;
  for (const auto& host : list.hosts) seen_ms_[host.host] = live_read_ms_;
  sources_.live = std::move(list);
}

millis fleet_poller::AbsentSinceMs(const std::string& host) const {
  auto seen = seen_ms_.find(host);
  if (seen == seen_ms_.end()) return first_live_ms_;
  return seen->second == live_read_ms_ ? 0 : seen->second;
}

kj::Promise<void> fleet_poller::RecordsLoop() {
  return store_.List(kHostPrefix)
      .then([this](result<stored_values> list) -> kj::Promise<void> {
        if (!Ok(list)) {
          return timer_.afterDelay(options_.timing.live_poll_ms *
                                   kj::MILLISECONDS);
        }
        records_revision_ = Value(list).revision;
        records_known_ = true;
        sources_.records.clear();
        for (const auto& item : Value(list).items) TakeRecord(item);
        Rebuild();
        return RecordsWatch();
      })
      .then([this] { return RecordsLoop(); });
}

kj::Promise<void> fleet_poller::RecordsWatch() {
  return store_.Watch(kHostPrefix, records_revision_)
      .then([this](result<stored_values> seen) -> kj::Promise<void> {
        // After a failure the whole list is read again.
        if (!Ok(seen)) {
          return timer_.afterDelay(options_.timing.live_poll_ms *
                                   kj::MILLISECONDS);
        }
        records_revision_ = std::max(records_revision_, Value(seen).revision);
        for (const auto& item : Value(seen).items) TakeRecord(item);
        if (!Value(seen).items.empty()) Rebuild();
        return RecordsWatch();
      });
}

void fleet_poller::TakeRecord(const stored_value& item) {
  std::string host = item.key.substr(item.key.rfind('/') + 1);
  if (item.deleted) {
    sources_.records.erase(host);
    return;
  }
  auto view = DecodeHostView(item.key, item.value);
  if (!Ok(view)) {
    LogError("hosts", "record refused, key=" + item.key +
                          " reason=" + Error(view).message);
    return;
  }
  auto known = sources_.records.find(host);
  bool older = known != sources_.records.end() &&
               known->second.epoch > Value(view).epoch;
  if (!older) sources_.records[host] = Value(view);
}

void fleet_poller::Rebuild() {
  // Without the records, hosts that drain would seem to accept work.
  if (!live_known_ || !records_known_ || !keeper_.Tree()) return;
  std::uint64_t before = table_.Version();
  table_.Replace(BuildTable(sources_, *keeper_.Tree()), HostEpochs(sources_));
  if (table_.Version() == before) return;
  for (const auto& [host, record] : sources_.records) {
    std::uint64_t& in_table = epochs_in_table_[host];
    if (in_table == record.epoch) continue;
    in_table = record.epoch;
    version_of_host_[host] = table_.Version();
  }
}

std::uint64_t fleet_poller::VersionOf(const std::string& host) const {
  auto found = version_of_host_.find(host);
  return found == version_of_host_.end() ? 0 : found->second;
}

void fleet_poller::taskFailed(kj::Exception&& exception) {
  LogError("hosts", std::string("task failed, reason=") +
                        exception.getDescription().cStr());
}

}  // namespace radishwing::control
