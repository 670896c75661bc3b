#include "src/entry/directory.h"

#include <algorithm>

namespace radishwing::entry {
namespace {

// Weight of callers without a key, next to the teams' shares of 0 to 1.
constexpr double kOpenWeight = 0.01;
// A team without a share still gets a turn.
constexpr double kLeastWeight = 0.001;

}  // namespace

directory::directory(routing::runner_table& runners) : runners_(runners) {
  AddTeam("").listed = true;
}

team_state& directory::AddTeam(std::string_view name) {
  auto found = team_index_.find(name);
  if (found != team_index_.end()) return *teams_[found->second];
  auto made = std::make_unique<team_state>();
  made->name = name;
  made->index = static_cast<std::uint32_t>(teams_.size());
  team_index_.emplace(std::string(name), made->index);
  teams_.push_back(std::move(made));
  return *teams_.back();
}

team_state* directory::FindTeam(std::string_view name) {
  auto found = team_index_.find(name);
  return found == team_index_.end() ? nullptr : teams_[found->second].get();
}

service_state& directory::AddService(std::string_view name) {
  auto found = service_index_.find(name);
  if (found != service_index_.end()) return *services_[found->second];
  auto made = std::make_unique<service_state>();
  made->name = name;
  made->index = static_cast<std::uint32_t>(services_.size());
  made->group = &runners_.Group(name);
  service_index_.emplace(std::string(name), made->index);
  services_.push_back(std::move(made));
  return *services_.back();
}

service_state* directory::FindService(std::string_view name) {
  auto found = service_index_.find(name);
  if (found == service_index_.end()) return nullptr;
  service_state* service = services_[found->second].get();
  return service->listed ? service : nullptr;
}

pool_state& directory::Pool(std::string_view name) {
  auto found = pools_.find(name);
  if (found != pools_.end()) return *found->second;
  auto made = std::make_unique<pool_state>();
  made->name = name;
  made->queue.SetWeight(0, kOpenWeight);
  return *pools_.emplace(std::string(name), std::move(made)).first->second;
}

std::uint32_t directory::KeyNumber(const std::string& team,
                                   const std::string& sha256) {
  auto next = static_cast<std::uint32_t>(key_numbers_.size() + 1);
  return key_numbers_.emplace(team + ' ' + sha256, next).first->second;
}

void directory::Apply(const settings::fleet_settings& settings) {
  revision_ = settings.revision;
  ApplyTeams(settings);
  ApplyServices(settings);
  for (auto& [name, pool] : pools_) {
    for (const auto& team : teams_) {
      if (team->index == 0) continue;
      pool->queue.SetWeight(team->index,
                            std::max(team->settings.share, kLeastWeight));
    }
  }
}

void directory::ApplyTeams(const settings::fleet_settings& settings) {
  for (auto& team : teams_) team->listed = team->index == 0;
  keys_ = {};
  key_valid_.assign(key_valid_.size(), false);
  for (const auto& [name, team_settings] : settings.teams) {
    team_state& team = AddTeam(name);
    team.listed = true;
    team.settings = team_settings;
    for (const settings::team_key& key : team_settings.keys) {
      std::uint32_t number = KeyNumber(name, key.sha256);
      if (key_valid_.size() <= number) key_valid_.resize(number + 1);
      key_valid_[number] = true;
      keys_.Add(key.sha256, {team.index, number});
    }
  }
}

void directory::ApplyServices(const settings::fleet_settings& settings) {
  for (auto& service : services_) service->listed = false;
  for (const auto& [name, service_settings] : settings.services) {
    service_state& service = AddService(name);
    service.listed = true;
    service.settings = service_settings;
    service.pool = &Pool(service_settings.pool);
    service.budget.SetRatio(service_settings.retry_ratio);
    service.admits.assign(teams_.size(), service_settings.teams.empty());
    for (const std::string& team : service_settings.teams) {
      if (team_state* found = FindTeam(team)) {
        service.admits[found->index] = true;
      }
    }
  }
}

}  // namespace radishwing::entry
