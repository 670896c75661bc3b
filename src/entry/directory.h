#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/entry/key_table.h"
#include "src/entry/pool_state.h"
#include "src/entry/service_state.h"
#include "src/entry/team_state.h"
#include "src/routing/runner_table.h"
#include "src/settings/fleet_settings.h"

namespace radishwing::entry {

/// The services, teams, pools and keys of the newest settings, with the state
/// that the serve thread keeps for each of them. Objects live as long as the
/// directory; those that are gone from the settings are marked.
class directory {
 public:
  explicit directory(routing::runner_table& runners);

  void Apply(const settings::fleet_settings& settings);

  std::uint64_t Revision() const { return revision_; }

  /// The service of that name in the newest settings, or nullptr.
  service_state* FindService(std::string_view name);

  /// The holder of the key in the newest settings, or nothing.
  std::optional<key_owner> FindKey(std::string_view key) const {
    return keys_.Find(key);
  }
  bool HasKey(std::uint32_t number) const {
    return number == 0 || (number < key_valid_.size() && key_valid_[number]);
  }

  team_state& Team(std::uint32_t index) { return *teams_[index]; }
  team_state* FindTeam(std::string_view name);

  std::vector<std::unique_ptr<team_state>>& Teams() { return teams_; }
  std::vector<std::unique_ptr<service_state>>& Services() { return services_; }
  std::map<std::string, std::unique_ptr<pool_state>, std::less<>>& Pools() {
    return pools_;
  }

 private:
  team_state& AddTeam(std::string_view name);
  service_state& AddService(std::string_view name);
  pool_state& Pool(std::string_view name);
  void ApplyTeams(const settings::fleet_settings& settings);
  void ApplyServices(const settings::fleet_settings& settings);
  std::uint32_t KeyNumber(const std::string& team, const std::string& sha256);

  routing::runner_table& runners_;
  std::uint64_t revision_ = 0;
  std::vector<std::unique_ptr<team_state>> teams_;
  std::map<std::string, std::uint32_t, std::less<>> team_index_;
  std::vector<std::unique_ptr<service_state>> services_;
  std::unordered_map<std::string, std::uint32_t, fairness::name_hash,
                     std::equal_to<>>
      service_index_;
  std::map<std::string, std::unique_ptr<pool_state>, std::less<>> pools_;
  key_table keys_;
  std::map<std::string, std::uint32_t> key_numbers_;
  std::vector<bool> key_valid_;
};

}  // namespace radishwing::entry
