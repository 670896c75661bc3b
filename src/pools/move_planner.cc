#include "src/pools/move_planner.h"

#include <algorithm>

namespace radishwing::pools {
namespace {

constexpr millis kHour = 3'600'000;
constexpr millis kSurplusFactor = 4;

bool HasSurplus(const pool_state& pool) {
  return !pool.spare && pool.hosts > std::max(pool.wanted, pool.floor_hosts);
}

bool HasShortage(const pool_state& pool) {
  return !pool.spare && pool.hosts < pool.wanted;
}

}  // namespace

move_planner::move_planner(settings::policy_settings policy)
    : policy_(policy) {}

millis move_planner::Hysteresis() const {
  const double nearness = std::max(policy_.weight_share_nearness, 1e-9);
  const double scale = std::clamp(policy_.weight_moves / nearness, 0.25, 4.0);
  return static_cast<millis>(
      1000.0 * static_cast<double>(policy_.move_hysteresis_seconds) * scale);
}

bool move_planner::Spend(millis now) {
  while (!started_.empty() && started_.front() <= now - kHour) {
    started_.pop_front();
  }
  if (started_.size() >= policy_.move_budget_per_hour) return false;
  started_.push_back(now);
  return true;
}

void move_planner::Track(millis now, std::span<const pool_state> pools) {
  const auto note = [now](millis& since, bool holds) {
    if (!holds) {
      since = -1;
    } else if (since < 0) {
      since = now;
    }
  };
  for (const pool_state& pool : pools) {
    change_of_need& need = needs_[pool.pool];
    note(need.shortage_since, HasShortage(pool));
    note(need.surplus_since, HasSurplus(pool));
  }
}

bool move_planner::Lasts(millis now, const pool_state& pool) {
  const change_of_need& need = needs_[pool.pool];
  const millis wait = Hysteresis();
  if (HasShortage(pool)) return now - need.shortage_since >= wait;
  return HasSurplus(pool) && now - need.surplus_since >= kSurplusFactor * wait;
}

std::vector<host_move> move_planner::Plan(millis now,
                                          std::span<const pool_state> pools) {
  Track(now, pools);
  std::vector<pool_state> state(pools.begin(), pools.end());
  std::vector<pool_state*> takers;
  std::vector<pool_state*> givers;
  pool_state* spare = nullptr;
  for (pool_state& pool : state) {
    if (pool.spare) spare = &pool;
    if (!Lasts(now, pool)) continue;
    (HasShortage(pool) ? takers : givers).push_back(&pool);
  }
  std::sort(takers.begin(), takers.end(), [](auto* a, auto* b) {
    return a->wanted - a->hosts > b->wanted - b->hosts;
  });
  std::sort(givers.begin(), givers.end(), [](auto* a, auto* b) {
    return a->hosts - a->wanted > b->hosts - b->wanted;
  });
  std::vector<host_move> moves;
  const auto move = [&](pool_state& from, pool_state& to) {
    if (!Spend(now)) return false;
    --from.hosts;
    ++to.hosts;
    moves.push_back({from.pool, to.pool});
    return true;
  };
  const auto next_giver = [&]() -> pool_state* {
    if (spare != nullptr && spare->hosts > spare->floor_hosts) return spare;
    for (pool_state* giver : givers) {
      if (HasSurplus(*giver)) return giver;
    }
    return nullptr;
  };
  for (pool_state* taker : takers) {
    while (HasShortage(*taker)) {
      pool_state* from = next_giver();
      if (from == nullptr || !move(*from, *taker)) return moves;
    }
  }
  for (pool_state* giver : givers) {
    while (spare != nullptr && HasSurplus(*giver)) {
      if (!move(*giver, *spare)) return moves;
    }
  }
  return moves;
}

}  // namespace radishwing::pools
