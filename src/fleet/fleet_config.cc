#include "src/fleet/fleet_config.h"

#include <algorithm>

namespace radishwing::fleet {

const queue_config* fleet_config::FindQueue(std::string_view host,
                                            std::string_view path) const {
  const queue_config* best = nullptr;
  for (const queue_config& queue : queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
    if (!best || queue.path_prefix.size() > best->path_prefix.size()) {
      best = &queue;
    }
  }
  return best;
}

const pool_config* fleet_config::FindPool(std::string_view name) const {
  const auto it = std::ranges::find(pools, name, &pool_config::name);
  return it == pools.end() ? nullptr : &*it;
}

const team_config* fleet_config::FindTeam(std::string_view name) const {
  const auto it = std::ranges::find(teams, name, &team_config::name);
  return it == teams.end() ? nullptr : &*it;
}

const team_config* fleet_config::FindTeamByKey(std::string_view key) const {
  for (const team_config& team : teams) {
    if (std::ranges::find(team.keys, key) != team.keys.end()) return &team;
  }
  return nullptr;
}

}  // namespace radishwing::fleet
