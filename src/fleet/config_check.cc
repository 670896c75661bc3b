#include "src/fleet/config_check.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace radishwing::fleet {
namespace {

/// Collects the problems of one configuration.
class config_checker {
 public:
  config_checker(const fleet_config& config, const pool_capacities& capacities)
      : config_(config), capacities_(capacities) {}

  std::vector<config_problem> Check() {
    for (std::size_t i = 0; i < config_.queues.size(); ++i) CheckQueue(i);
    for (std::size_t i = 0; i < config_.pools.size(); ++i) CheckPool(i);
    for (std::size_t i = 0; i < config_.teams.size(); ++i) CheckTeam(i);
    CheckWeights();
    return std::move(problems_);
  }

 private:
  void Add(config_section section, std::size_t index, bool is_error,
           std::string text) {
    problems_.push_back({section, index, is_error, std::move(text)});
  }

  void CheckQueue(std::size_t index) {
    const queue_config& queue = config_.queues[index];
    const auto error = [&](const std::string& text) {
      Add(config_section::kQueues, index, true,
          "queue \"" + queue.name + "\" " + text);
    };
    if (queue.name.empty()) error("has no name");
    for (std::size_t i = 0; i < index; ++i) {
      const queue_config& earlier = config_.queues[i];
      if (earlier.name == queue.name) error("has the name of an earlier queue");
      if (earlier.host == queue.host &&
          earlier.path_prefix == queue.path_prefix) {
        error("never gets a call: queue \"" + earlier.name +
              "\" has the same host and prefix and comes first");
      }
    }
    if (queue.host.empty() || queue.host.find(':') != std::string::npos) {
      error("never gets a call: its host is empty or has a port");
    }
    if (!queue.path_prefix.starts_with('/')) {
      error("never gets a call: its prefix does not begin with a slash");
    }
    const pool_config* pool = config_.FindPool(queue.pool);
    if (!pool) {
      error("sends its jobs to pool \"" + queue.pool +
            "\", which does not exist: they never run");
    } else if (pool->standby) {
      error("sends its jobs to the standby pool \"" + queue.pool +
            "\", whose hosts are off: they never run");
    }
    if (queue.max_attempts < 1) error("permits no attempt of a task");
    if (queue.priority < 0) error("has a negative priority");
    if (!std::isfinite(queue.stretch) || queue.stretch <= 0) {
      error("has a stretch that is not a positive number");
    } else if (queue.stretch < 1 && queue.target_ms <= 0) {
      error("has an objective below the run time of its jobs: no job meets it");
    }
    if (queue.target_ms < 0) error("has a negative target latency");
  }

  void CheckPool(std::size_t index) {
    const pool_config& pool = config_.pools[index];
    const std::string label = "pool \"" + pool.name + "\" ";
    if (pool.name.empty()) {
      Add(config_section::kPools, index, true, "a pool has no name");
    }
    for (std::size_t i = 0; i < index; ++i) {
      if (config_.pools[i].name == pool.name) {
        Add(config_section::kPools, index, true,
            label + "has the name of an earlier pool");
      }
      if (config_.pools[i].standby && pool.standby) {
        Add(config_section::kPools, index, true,
            label + "is a second standby pool: hosts are sent to one only");
      }
    }
    if (pool.standby) return;
    const bool used = std::ranges::any_of(
        config_.queues,
        [&](const queue_config& queue) { return queue.pool == pool.name; });
    if (!used) {
      Add(config_section::kPools, index, false,
          label + "serves no queue: its hosts get no new work");
    }
    if (!capacities_.empty() && !capacities_.contains(pool.name)) {
      Add(config_section::kPools, index, false,
          label + "has no registered runner");
    }
  }

  void CheckTeam(std::size_t index) {
    const team_config& team = config_.teams[index];
    const std::string label = "team \"" + team.name + "\" ";
    const auto add = [&](bool is_error, const std::string& text) {
      Add(config_section::kTeams, index, is_error, label + text);
    };
    if (team.name.empty()) add(true, "has no name");
    for (std::size_t i = 0; i < index; ++i) {
      if (config_.teams[i].name == team.name) {
        add(true, "has the name of an earlier team");
      }
    }
    if (team.keys.empty()) add(false, "has no key: nobody can call for it");
    for (const std::string& key : team.keys) {
      if (key.empty()) add(true, "has an empty key, which no call matches");
      if (!keys_.insert(key).second) {
        add(true,
            "has a key that was listed before: calls with it count for "
            "the team that comes first");
      }
    }
    if (!std::isfinite(team.weight) || team.weight < 0) {
      add(true, "has a weight that is not a number of 0 or more");
    }
    CheckLimit(team, add);
  }

  template <typename AddProblem>
  void CheckLimit(const team_config& team, const AddProblem& add) const {
    const resources& limit = team.resource_limit;
    if (limit.cpu_millicores < 0 || limit.memory_mb < 0 ||
        limit.accelerators < 0) {
      add(true, "has a negative limit: it may run nothing");
    }
    resources total;
    for (const auto& [pool, capacity] : capacities_) total += capacity;
    if (!capacities_.empty() && limit.cpu_millicores > total.cpu_millicores &&
        limit.memory_mb > total.memory_mb) {
      add(false,
          "has a limit above the capacity of all runners: it never acts");
    }
  }

  void CheckWeights() {
    const bool all_zero =
        !config_.teams.empty() &&
        std::ranges::all_of(config_.teams, [](const team_config& team) {
          return team.weight == 0;
        });
    if (all_zero) {
      Add(config_section::kTeams, 0, true,
          "the weights of all teams are 0: full pools can't be shared by them");
    }
  }

  const fleet_config& config_;
  const pool_capacities& capacities_;
  std::set<std::string> keys_;  ///< Keys of the teams checked so far.
  std::vector<config_problem> problems_;
};

}  // namespace

std::vector<config_problem> CheckConfig(const fleet_config& config,
                                        const pool_capacities& capacities) {
  return config_checker(config, capacities).Check();
}

}  // namespace radishwing::fleet
