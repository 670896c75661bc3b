#include "bench/rollout_simulation.h"

#include <algorithm>
#include <map>
#include <string>

#include "src/maintenance/host_transitions.h"
#include "src/maintenance/ledger_transitions.h"

namespace radishwing::bench {
namespace {

using namespace maintenance;

constexpr int kHosts = 1100;
constexpr int kPools = 106;
constexpr int kHostsPerRack = 4;
constexpr int kSpareHosts = 44;
constexpr millis kMaintenanceMs = 900'000;  // Drain, reboot and check.
constexpr millis kLendMs = 60'000;
constexpr millis kPlanningIntervalMs = 5'000;
constexpr std::uint32_t kWaveHostsMax = 4;

std::string Name(const char* kind, int number) {
  return kind + std::to_string(number);
}

template <typename T>
void Replace(T& record, const result<T>& next) {
  if (Ok(next)) record = Value(next);
}

}  // namespace

rollout_simulation::rollout_simulation(std::uint64_t seed) : random_(seed) {
  view_.wave = "kernel";
  for (int p = 0; p < kPools; ++p) {
    wave_pool pool;
    pool.ledger.pool = Name("pool", p);
    pool.spare = p == 0;
    pool.wave_hosts_max = kWaveHostsMax;
    view_.pools.push_back(pool);
  }
  // Pools get whole racks; sizes differ by a factor of up to five.
  int rack = 0;
  for (int host = 0; host < kHosts; host += kHostsPerRack, ++rack) {
    std::size_t p = host < kSpareHosts ? 0 : 1 + random_() % (kPools - 1);
    if (rack >= kSpareHosts / kHostsPerRack &&
        rack < kSpareHosts / kHostsPerRack + kPools - 1) {
      p = static_cast<std::size_t>(rack - kSpareHosts / kHostsPerRack + 1);
    }
    wave_pool& pool = view_.pools[p];
    for (int i = 0; i < kHostsPerRack; ++i) {
      wave_host item;
      item.record.host = Name("host", host + i);
      item.record.rack = Name("rack", rack);
      item.record.pool = pool.ledger.pool;
      pool.ledger.hosts[item.record.host] = item.record.rack;
      pool.hosts.push_back(item);
      // Each host takes its time within 10% of the usual.
      maintenance_ms_[item.record.host] =
          kMaintenanceMs * (900 + static_cast<millis>(random_() % 201)) / 1000;
    }
  }
  // A pool can lose a rack and has one rack in maintenance besides, if it has
  // as many; a pool of one rack can miss one host.
  for (wave_pool& pool : view_.pools) {
    const auto hosts = static_cast<std::uint32_t>(pool.hosts.size());
    pool.ledger.floor = pool.spare ? 0 : hosts > 8 ? hosts - 8 : hosts - 1;
  }
}

wave_pool& rollout_simulation::Pool(const std::string& name) {
  return *std::find_if(
      view_.pools.begin(), view_.pools.end(),
      [&name](const wave_pool& pool) { return pool.ledger.pool == name; });
}

void rollout_simulation::Start(const wave_action& action, millis now) {
  wave_pool& pool = Pool(action.pool);
  const bool lend = action.step == wave_step::kLend;
  const auto granted =
      GrantDrain(pool.ledger, action.host, lend ? "lend" : "wave", "grant");
  if (!Ok(granted)) return;
  pool.ledger = Value(granted);
  for (wave_host& host : pool.hosts) {
    if (host.record.host != action.host) continue;
    Replace(host.record, BeginDrain(host.record, lend ? "lend" : "wave",
                                    action.next_pool, "drain"));
  }
  // Each host takes its time within 10% of the usual.
  const millis usual = action.maintain ? kMaintenanceMs : kLendMs;
  const millis length =
      usual * (900 + static_cast<millis>(random_() % 201)) / 1000;
  jobs_.push_back({now + length, action});
}

void rollout_simulation::Finish(const wave_action& action) {
  wave_pool& pool = Pool(action.pool);
  const auto host = std::find_if(
      pool.hosts.begin(), pool.hosts.end(),
      [&action](const wave_host& h) { return h.record.host == action.host; });
  Replace(host->record, MarkEmpty(host->record, "empty"));
  Replace(host->record,
          ReturnHost(host->record, action.maintain ? view_.wave : "", "back"));
  if (action.next_pool.empty()) {
    Replace(pool.ledger, ReleaseHost(pool.ledger, action.host, "release"));
    return;
  }
  Replace(pool.ledger, UnlistHost(pool.ledger, action.host, "unlist"));
  wave_pool& next = Pool(action.next_pool);
  Replace(next.ledger,
          ListHost(next.ledger, action.host, host->record.rack, "list"));
  next.hosts.push_back(*host);
  pool.hosts.erase(host);
}

millis rollout_simulation::Run() {
  millis now = 0;
  for (;; now += kPlanningIntervalMs) {
    for (std::size_t i = 0; i < jobs_.size();) {
      if (jobs_[i].ends_at > now) {
        ++i;
        continue;
      }
      Finish(jobs_[i].action);
      jobs_.erase(jobs_.begin() + static_cast<long>(i));
    }
    const wave_plan plan = PlanWave(view_);
    if (plan.remaining == 0) return now;
    for (const wave_action& action : plan.actions) Start(action, now);
    for (const wave_pool& pool : view_.pools) {
      floor_violations_ += pool.ledger.Margin() < 0 ? 1 : 0;
    }
    if (jobs_.empty()) return -1;
  }
}

millis rollout_simulation::PoolBound(const wave_pool& pool, bool growth) const {
  struct rack_time {
    std::uint32_t hosts = 0;
    millis longest = 0;
    millis sum = 0;
  };
  std::map<std::string, rack_time> racks;
  for (const auto& [host, rack] : pool.ledger.hosts) {
    const millis time = maintenance_ms_.at(host);
    rack_time& item = racks[rack];
    ++item.hosts;
    item.longest = std::max(item.longest, time);
    item.sum += time;
  }
  const auto margin = static_cast<std::uint32_t>(
      std::max<std::int64_t>(1, pool.ledger.Margin()));
  const std::uint32_t most = std::min(pool.wave_hosts_max, margin);
  millis length = 0;
  for (const auto& [rack, item] : racks) {
    length += std::max(item.longest, item.sum / most);
  }
  // The first host of the wave, then two at a time in one rack of the pool.
  if (growth) length += kMaintenanceMs + (most > 2 ? kMaintenanceMs : 0);
  return length;
}

millis rollout_simulation::LowerBound() const {
  millis bound = 0;
  for (const wave_pool& pool : view_.pools) {
    bound = std::max(bound, PoolBound(pool, false));
  }
  return bound;
}

millis rollout_simulation::LowerBoundWithGrowth() const {
  millis bound = 0;
  for (const wave_pool& pool : view_.pools) {
    bound = std::max(bound, PoolBound(pool, true));
  }
  return bound;
}

}  // namespace radishwing::bench
