#include "src/maintenance/wave_planner.h"

#include <algorithm>
#include <bit>
#include <map>
#include <optional>
#include <string>

#include "src/maintenance/wave_queries.h"

namespace radishwing::maintenance {
namespace {

// Two failures with something in common are taken as one cause.
constexpr std::size_t kCorrelated = 2;

/// One planning pass over a view.
class planner {
 public:
  explicit planner(const wave_view& view) : view_(view) {}

  wave_plan Plan() {
    Count();
    if (const std::string reason = WaveHold(); !reason.empty()) {
      Hold("", reason);
      return std::move(plan_);
    }
    const std::vector<const wave_pool*> pools = Order();
    if (healthy_done_ == 0) {
      PlanFirst(pools);
    } else {
      for (const wave_pool* pool : pools) PlanPool(*pool);
    }
    return std::move(plan_);
  }

 private:
  void Hold(std::string pool, std::string reason) {
    plan_.holds.push_back({std::move(pool), std::move(reason)});
  }

  void Count() {
    for (const wave_pool& pool : view_.pools) {
      if (!pool.covered) continue;
      for (const wave_host& host : pool.hosts) {
        if (host.record.maintained_by == view_.wave) {
          ++plan_.done;
          if (!ReturnedUnhealthy(view_, host)) ++healthy_done_;
        } else if (Remains(view_, host)) {
          ++plan_.remaining;
        }
      }
    }
  }

  std::string WaveHold() const {
    if (view_.state != settings::wave_state::kRunning) {
      return "the operator has not started or has paused the wave";
    }
    std::string unhealthy;
    std::size_t count = 0;
    std::map<std::string, std::size_t> failed_in_rack;
    for (const wave_pool& pool : view_.pools) {
      for (const wave_host& host : pool.hosts) {
        if (ReturnedUnhealthy(view_, host)) {
          unhealthy += (count++ > 0 ? ", " : "") + host.record.host;
        }
        if (host.record.state != host_state::kFailed ||
            view_.excused.contains(host.record.host)) {
          continue;
        }
        if (++failed_in_rack[host.record.rack] == kCorrelated) {
          return "several hosts of rack " + host.record.rack + " failed";
        }
      }
    }
    if (count >= kCorrelated) return "hosts returned unhealthy: " + unhealthy;
    return {};
  }

  std::vector<const wave_pool*> Order() const {
    std::vector<std::pair<std::uint32_t, const wave_pool*>> rounds;
    for (const wave_pool& pool : view_.pools) {
      if (pool.covered)
        rounds.emplace_back(RemainingRounds(view_, pool), &pool);
    }
    std::stable_sort(rounds.begin(), rounds.end(),
                     [](const auto& a, const auto& b) {
                       if (a.second->spare != b.second->spare)
                         return a.second->spare;
                       return a.first > b.first;
                     });
    std::vector<const wave_pool*> pools;
    for (const auto& item : rounds) pools.push_back(item.second);
    return pools;
  }

  void PlanFirst(const std::vector<const wave_pool*>& pools) {
    const wave_pool* first = nullptr;
    for (const wave_pool* pool : pools) {
      if (pool->ledger.PlannedStops() > 0) {
        Hold("", "waits for the first host to return, in pool " +
                     pool->ledger.pool);
        return;
      }
      if (ReadyByRack(view_, *pool).empty()) continue;
      if (first == nullptr || GoesBefore(*pool, *first)) first = pool;
    }
    if (first != nullptr) PlanPool(*first);
  }

  // The first host helps the pool with most rounds, as long as that can lose a
  // rack besides; otherwise the pool with the widest margin takes the risk.
  bool GoesBefore(const wave_pool& a, const wave_pool& b) const {
    const bool a_safe = a.ledger.Margin() > LargestRack(a);
    const bool b_safe = b.ledger.Margin() > LargestRack(b);
    if (a_safe != b_safe) return a_safe;
    if (!a_safe) return a.ledger.Margin() > b.ledger.Margin();
    return RemainingRounds(view_, a) > RemainingRounds(view_, b);
  }

  void PlanPool(const wave_pool& pool) {
    const auto racks = ReadyByRack(view_, pool);
    const std::uint32_t stopped = pool.ledger.PlannedStops();
    if (racks.empty()) {
      if (stopped == 0) GiveBack(pool);
      return;
    }
    for (const wave_host& host : pool.hosts) {
      if (!ReturnedUnhealthy(view_, host)) continue;
      Hold(pool.ledger.pool,
           "host " + host.record.host + " returned unhealthy");
      return;
    }
    const std::uint32_t limit = WaveGrowth(healthy_done_, pool.wave_hosts_max);
    if (stopped >= limit) return;
    const std::uint32_t count = WithinMargin(pool, limit - stopped);
    if (count > 0) Drain(pool, racks, count);
  }

  // How many of `wanted` stops the pool can bear now.
  std::uint32_t WithinMargin(const wave_pool& pool, std::uint32_t wanted) {
    const std::int64_t margin = pool.ledger.Margin();
    const std::int64_t spared = pool.spare ? 0 : LargestRack(pool);
    const std::int64_t headroom = margin - spared;
    if (headroom >= 1) {
      return static_cast<std::uint32_t>(
          std::min<std::int64_t>(wanted, headroom));
    }
    const bool lent = Lend(pool, 1 - headroom);
    if (margin < 1) {
      Hold(pool.ledger.pool,
           std::to_string(pool.ledger.Available()) +
               " hosts available, floor " + std::to_string(pool.ledger.floor) +
               (lent ? ", a spare host is under way" : ", no spare host"));
      return 0;
    }
    if (lent) {
      Hold(pool.ledger.pool, "waits for a spare host");
      return 0;
    }
    Hold(pool.ledger.pool,
         "no headroom for the loss of a rack and no spare host: one host at a "
         "time");
    return pool.ledger.PlannedStops() == 0 ? 1 : 0;
  }

  // Lends up to `count` spare hosts to `pool`. True if any is under way.
  bool Lend(const wave_pool& pool, std::int64_t count) {
    for (const wave_pool& other : view_.pools) {
      if (!other.spare || &other == &pool) continue;
      std::int64_t under_way = 0;
      for (const wave_host& host : other.hosts) {
        under_way += host.record.next_pool == pool.ledger.pool;
      }
      const std::int64_t left = LendFrom(other, pool, count - under_way);
      if (under_way > 0 || left < count) return true;
    }
    return false;
  }

  std::int64_t LendFrom(const wave_pool& spare, const wave_pool& pool,
                        std::int64_t count) {
    std::int64_t margin = spare.ledger.Margin() - taken_[spare.ledger.pool];
    std::string rack = spare.ledger.rack_in_wave;
    for (const wave_host& host : spare.hosts) {
      if (count <= 0 || margin <= 0) break;
      const bool usable =
          host.healthy && host.record.state == host_state::kActive &&
          !spare.ledger.unavailable.contains(host.record.host) &&
          !used_.contains(host.record.host);
      // A host that the wave has still to maintain in the spare pool stays.
      if (!usable || (spare.covered && Remains(view_, host))) continue;
      if (!rack.empty() && rack != host.record.rack) continue;
      rack = host.record.rack;
      plan_.actions.push_back({wave_step::kLend, host.record.host,
                               spare.ledger.pool, pool.ledger.pool, false});
      used_.insert(host.record.host);
      ++taken_[spare.ledger.pool];
      --margin;
      --count;
    }
    return count;
  }

  void GiveBack(const wave_pool& pool) {
    for (const wave_host& host : pool.hosts) {
      if (host.record.home_pool.empty() ||
          host.record.state != host_state::kActive) {
        continue;
      }
      plan_.actions.push_back({wave_step::kGiveBack, host.record.host,
                               pool.ledger.pool, host.record.home_pool,
                               host.record.maintained_by != view_.wave});
    }
  }

  void Drain(const wave_pool& pool,
             const std::map<std::string, std::uint32_t>& racks,
             std::uint32_t count) {
    std::string rack = pool.ledger.rack_in_wave;
    if (rack.empty()) {
      rack = std::min_element(racks.begin(), racks.end(),
                              [](const auto& a, const auto& b) {
                                return a.second < b.second;
                              })
                 ->first;
    }
    for (const wave_host& host : pool.hosts) {
      if (count == 0) return;
      if (host.record.rack != rack || !Ready(view_, pool, host)) continue;
      if (used_.contains(host.record.host)) continue;
      plan_.actions.push_back(
          {wave_step::kMaintain, host.record.host, pool.ledger.pool, "", true});
      used_.insert(host.record.host);
      ++taken_[pool.ledger.pool];
      --count;
      if (healthy_done_ == 0) return;
    }
  }

  const wave_view& view_;
  wave_plan plan_;
  std::uint32_t healthy_done_ = 0;
  std::set<std::string, std::less<>> used_;
  std::map<std::string, std::int64_t> taken_;
};

}  // namespace

std::uint32_t WaveGrowth(std::uint32_t done, std::uint32_t wave_hosts_max) {
  return std::min(wave_hosts_max, std::bit_floor(done + 1));
}

std::uint32_t RemainingRounds(const wave_view& view, const wave_pool& pool) {
  std::uint32_t rounds = 0;
  const std::uint32_t most = std::max<std::uint32_t>(1, pool.wave_hosts_max);
  for (const auto& [rack, count] : ReadyByRack(view, pool)) {
    rounds += (count + most - 1) / most;
  }
  return rounds;
}

wave_plan PlanWave(const wave_view& view) { return planner(view).Plan(); }

}  // namespace radishwing::maintenance
