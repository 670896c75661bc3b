#include "src/control/host_duty.h"

#include <algorithm>
#include <utility>

#include "src/base/log.h"
#include "src/maintenance/host_transitions.h"
#include "src/platform/change_id.h"

namespace radishwing::control {

using maintenance::host_record;
using maintenance::host_state;

host_duty::host_duty(kj::Timer& timer, clock now,
                     const control_options& options, store_port& store,
                     host_board& board)
    : timer_(timer),
      clock_(now),
      options_(options),
      store_(store),
      board_(board),
      steps_(store, options.data_centre),
      lease_(timer, now, options.timing, store,
             "lease/hosts/" + options.data_centre,
             options.host + '#' + std::to_string(options.incarnation)),
      tasks_(kj::heap<kj::TaskSet>(
          static_cast<kj::TaskSet::ErrorHandler&>(*this))) {
  steps_.seen_host = [this](const stored_value& item) {
    board_.Poller().Observe(item);
  };
  steps_.seen_ledger = [this](const stored_value& item) {
    board_.Ledgers().Observe(item);
  };
}

void host_duty::Start() {
  tasks_->add(lease_.Run());
  tasks_->add(Loop());
}

kj::Promise<void> host_duty::Stop() {
  tasks_ =
      kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
  return lease_.Release();
}

kj::Promise<void> host_duty::Loop() {
  return Round()
      .catch_([](kj::Exception&& reason) {
        LogWarning("hosts", std::string("round failed, reason=") +
                                reason.getDescription().cStr());
      })
      .then([this] {
        return timer_.afterDelay(options_.timing.duty_round_ms *
                                 kj::MILLISECONDS);
      })
      .then([this] { return Loop(); });
}

kj::Promise<void> host_duty::Round() {
  board_.Track();
  if (!lease_.Held() || !board_.Complete()) return kj::READY_NOW;
  bool refresh = false;
  for (const auto& [host, facts] : OwnHosts()) {
    refresh = refresh || facts.record.state == host_state::kEmpty ||
              facts.record.state == host_state::kMaintenance;
  }
  // A step of maintenance needs states of the platform that are newer than the
  // record.
  auto fresh = refresh ? board_.Poller().RefreshHosts() : true;
  return kj::Promise<bool>(kj::mv(fresh))
      .then([this](bool read) -> kj::Promise<void> {
        if (!read || !lease_.Held()) return kj::READY_NOW;
        auto list = std::make_shared<tasks>();
        AddAdoptions(*list);
        AddSyncs(*list);
        AddHostSteps(*list);
        if (MayStop()) AddPlans(*list);
        return RunAll(list, 0);
      });
}

kj::Promise<void> host_duty::RunAll(std::shared_ptr<tasks> list,
                                    std::size_t next) {
  if (next >= list->size() || !lease_.Held()) return kj::READY_NOW;
  const task& now = (*list)[next];
  return now.run().then([this, list, next](result<done> outcome) {
    const task& ran = (*list)[next];
    refusals_.erase(ran.host);
    if (Ok(outcome)) {
      LogInfo("hosts", ran.what + ", host=" + ran.host);
    } else {
      refusals_[ran.host] = Error(outcome).message;
      Log(log_level::kDebug, "hosts",
          ran.what + " not done, host=" + ran.host +
              " reason=" + Error(outcome).message);
    }
    return RunAll(list, next + 1);
  });
}

bool host_duty::Has(const tasks& list, const std::string& host) {
  return std::any_of(list.begin(), list.end(),
                     [&](const task& t) { return t.host == host; });
}

std::string host_duty::Refusal(const std::string& host) const {
  auto found = refusals_.find(host);
  return found == refusals_.end() ? "" : found->second;
}

std::map<std::string, host_facts> host_duty::OwnHosts() {
  std::map<std::string, host_facts> own;
  for (const auto& [host, view] : board_.Poller().Sources().records) {
    if (view.data_centre != options_.data_centre) continue;
    if (auto facts = board_.Facts(host)) own.emplace(host, *facts);
  }
  return own;
}

std::string host_duty::PoolFor(const std::string& host) const {
  const auto& tree = *board_.Keeper().Tree();
  for (const auto& runner : board_.Poller().Sources().live.runners) {
    auto service = tree.services.find(runner.service);
    if (runner.host == host && service != tree.services.end()) {
      return service->second.pool;
    }
  }
  for (const auto& [name, pool] : tree.pools) {
    if (pool.spare) return name;
  }
  return "";
}

void host_duty::AddAdoptions(tasks& list) {
  const table_sources& sources = board_.Poller().Sources();
  for (const auto& [host, info] : sources.hosts) {
    if (info.data_centre != options_.data_centre) continue;
    if (sources.records.contains(host)) continue;
    if (info.state != platform_state::kUp) continue;
    if (board_.Poller().AbsentSinceMs(host) != 0) continue;
    host_record record;
    record.host = host;
    record.data_centre = info.data_centre;
    record.rack = info.rack;
    record.pool = PoolFor(host);
    record.change_id = platform::NewChangeId();
    if (record.pool.empty()) continue;
    list.push_back({"host adopted, pool=" + record.pool, host,
                    [this, record] { return steps_.Create(record); }});
  }
}

void host_duty::AddSyncs(tasks& list) {
  host_records own;
  std::map<std::string, std::uint32_t> floors;
  for (const auto& [name, pool] : board_.Keeper().Tree()->pools) {
    floors[name] = pool.floor_hosts;
  }
  for (const auto& [host, facts] : OwnHosts()) {
    own[host] = facts.record;
    floors.emplace(facts.record.pool, 0);
  }
  for (const auto& [pool, floor] : floors) {
    const auto* ledger = board_.Ledger(pool);
    if (ledger != nullptr && !SyncedLedger(*ledger, own, floor)) continue;
    list.push_back({"ledger updated, pool=" + pool, "",
                    [this, pool = pool, floor = floor] {
                      return steps_.Sync(pool, floor);
                    }});
  }
}

void host_duty::AddHostSteps(tasks& list) {
  const auto own = OwnHosts();
  // A live list that misses most hosts of the data centre in which this control
  // works is wrong rather than the hosts.
  std::size_t expected = 0;
  std::size_t absent = 0;
  for (const auto& [host, facts] : own) {
    if (facts.record.state != host_state::kActive &&
        facts.record.state != host_state::kDraining) {
      continue;
    }
    ++expected;
    if (facts.absent_ms > 0) ++absent;
  }
  const bool doubtful = absent > 1 && absent * 2 > expected;
  if (doubtful) LogWarning("hosts", "live list without most hosts ignored");
  for (auto [host, facts] : own) {
    if (doubtful) facts.absent_ms = 0;
    auto order = board_.Order(host);
    const bool returns = order && order->waiting &&
                         order->order.action == host_order::verb::kReturn;
    const bool stops = facts.record.state == host_state::kDraining ||
                       facts.record.state == host_state::kEmpty;
    const bool failed = HasFailed(facts, options_.timing.host_absent_ms);
    // The order takes the place of the steps towards the maintenance.
    if (!returns || !stops || failed) AddHostStep(list, facts);
    // One step of a host per round: a second one would work on the epoch that
    // the first one ends.
    if (!Has(list, host)) AddOrder(list, facts);
  }
}

void host_duty::taskFailed(kj::Exception&& exception) {
  LogError("hosts", std::string("task failed, reason=") +
                        exception.getDescription().cStr());
}

}  // namespace radishwing::control
