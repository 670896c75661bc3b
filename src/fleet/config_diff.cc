#include "src/fleet/config_diff.h"

#include <algorithm>
#include <sstream>

namespace radishwing::fleet {
namespace {

constexpr const char* kFromNextQuery = "in force from the next query";
constexpr const char* kNewJobsOnly =
    "holds for jobs that are accepted from then on";

template <typename Amount>
std::string Text(const Amount& amount) {
  std::ostringstream text;
  text << amount;
  return text.str();
}

/// Collects the differences of one entry.
class entry_changes {
 public:
  entry_changes(std::string subject, std::vector<config_change>& out)
      : subject_(std::move(subject)), out_(out) {}

  void Add(std::string change, std::string effect) {
    out_.push_back({subject_, std::move(change), std::move(effect)});
  }

  /// Adds a change of an amount, if there is one.
  template <typename Amount>
  void AddAmount(const std::string& name, const Amount& from, const Amount& to,
                 const std::string& effect) {
    if (from == to) return;
    Add(name + (to > from ? " raised from " : " lowered from ") + Text(from) +
            " to " + Text(to),
        effect);
  }

  /// Adds a change of a limit, of which 0 means none.
  void AddLimit(const std::string& name, std::int64_t from, std::int64_t to) {
    if (from == to) return;
    const bool lowered = to != 0 && (from == 0 || to < from);
    const auto limit_text = [](std::int64_t limit) {
      return limit == 0 ? std::string("none") : std::to_string(limit);
    };
    Add(name + (lowered ? " lowered from " : " raised from ") +
            limit_text(from) + " to " + limit_text(to),
        lowered ? "no running task is stopped; no task starts while the use is "
                  "above it"
                : "more tasks may run at once");
  }

  void AddSwitch(const std::string& name, bool from, bool to,
                 const std::string& effect) {
    if (from != to) Add(name + (to ? " turned on" : " turned off"), effect);
  }

 private:
  std::string subject_;
  std::vector<config_change>& out_;
};

void CompareQueue(const queue_config& from, const queue_config& to,
                  entry_changes changes) {
  if (from.host != to.host || from.path_prefix != to.path_prefix) {
    changes.Add("path changed from " + from.host + from.path_prefix + " to " +
                    to.host + to.path_prefix,
                "calls to the old path get 404; accepted jobs go on");
  }
  if (from.pool != to.pool) {
    changes.Add("pool changed from " + from.pool + " to " + to.pool,
                "accepted jobs stay on the old pool");
  }
  if (from.priority != to.priority) {
    changes.Add((to.priority < from.priority ? "priority raised from "
                                             : "priority lowered from ") +
                    Text(from.priority) + " to " + Text(to.priority),
                kNewJobsOnly);
  }
  changes.AddAmount("attempts", from.max_attempts, to.max_attempts,
                    kNewJobsOnly);
  changes.AddAmount("stretch", from.stretch, to.stretch, kNewJobsOnly);
  changes.AddAmount("target latency in ms", from.target_ms, to.target_ms,
                    kNewJobsOnly);
  changes.AddAmount("validity of tickets in ms", from.ticket_valid_ms,
                    to.ticket_valid_ms, kNewJobsOnly);
  changes.AddAmount("fixed response time of the advice service in ms",
                    from.advice_fixed_ms, to.advice_fixed_ms, kFromNextQuery);
  changes.AddAmount("response time of the advice service for a runner in ms",
                    from.advice_per_runner_ms, to.advice_per_runner_ms,
                    kFromNextQuery);
  changes.AddSwitch(
      "public access", from.is_public, to.is_public,
      to.is_public ? "calls need no key" : "calls without a key get 401");
}

void ComparePool(const pool_config& from, const pool_config& to,
                 entry_changes changes) {
  changes.AddSwitch("capacity check of the runners", from.enforces_capacity,
                    to.enforces_capacity, "what runs goes on");
  changes.AddSwitch("standby", from.standby, to.standby,
                    to.standby ? "its hosts are switched off when empty"
                               : "its hosts are switched on");
}

void CompareTeam(const team_config& from, const team_config& to,
                 entry_changes changes) {
  const auto count_missing = [](const auto& keys, const auto& others) {
    return std::ranges::count_if(keys, [&](const std::string& key) {
      return std::ranges::find(others, key) == others.end();
    });
  };
  const auto gone = count_missing(from.keys, to.keys);
  const auto added = count_missing(to.keys, from.keys);
  if (gone > 0) {
    changes.Add(Text(gone) + " of " + Text(from.keys.size()) + " keys gone",
                "calls with them get 401; accepted jobs go on");
  }
  if (added > 0) changes.Add(Text(added) + " keys added", "");
  changes.AddAmount("weight", from.weight, to.weight,
                    "shares of full pools change at once");
  const resources& old_limit = from.resource_limit;
  const resources& new_limit = to.resource_limit;
  changes.AddLimit("limit of 1/1000 cores", old_limit.cpu_millicores,
                   new_limit.cpu_millicores);
  changes.AddLimit("limit of memory in MB", old_limit.memory_mb,
                   new_limit.memory_mb);
  changes.AddLimit("limit of accelerators", old_limit.accelerators,
                   new_limit.accelerators);
}

/// Compares the entries of one section, which are matched by their names.
template <typename Entry, typename Compare>
void CompareSection(const std::string& kind, const std::vector<Entry>& from,
                    const std::vector<Entry>& to, const std::string& if_gone,
                    const Compare& compare, std::vector<config_change>& out) {
  for (const Entry& entry : from) {
    entry_changes changes(kind + " \"" + entry.name + "\"", out);
    const auto match = std::ranges::find(to, entry.name, &Entry::name);
    if (match == to.end()) {
      changes.Add("gone", if_gone);
    } else {
      compare(entry, *match, std::move(changes));
    }
  }
  for (const Entry& entry : to) {
    if (std::ranges::find(from, entry.name, &Entry::name) == from.end()) {
      entry_changes(kind + " \"" + entry.name + "\"", out).Add("added", "");
    }
  }
}

}  // namespace

std::vector<config_change> CompareConfigs(const fleet_config& current,
                                          const fleet_config& next) {
  std::vector<config_change> changes;
  CompareSection("queue", current.queues, next.queues,
                 "calls get 404; accepted jobs go on", CompareQueue, changes);
  CompareSection("pool", current.pools, next.pools,
                 "jobs for it wait while it is gone", ComparePool, changes);
  CompareSection("team", current.teams, next.teams,
                 "calls with its keys get 401; its accepted jobs go on without "
                 "a limit",
                 CompareTeam, changes);
  return changes;
}

}  // namespace radishwing::fleet
