#pragma once

#include <map>
#include <set>
#include <string>

#include "src/base/clock.h"
#include "src/fleet/fleet_config.h"
#include "src/fleet/resources.h"
#include "src/sched/job_state.h"
#include "src/sched/pool_backlog.h"
#include "src/sched/run_time_model.h"

namespace radishwing::sched {

/// Time that a job can wait before it starts its remaining steps.
struct job_urgency {
  double slack_ms = 0;  ///< And still meet its objective.
  /// And still have some value.
  double value_slack_ms = 0;
};

/// Sums up the work that waits for each pool. The capacities have to be added
/// before the jobs.
class backlog_collector {
 public:
  /// Adds a runner that accepts tasks.
  void AddCapacity(const std::string& pool, const fleet::resources& capacity);
  /// Adds an unfinished job.
  void AddJob(const job_state& job, const run_time_model& run_times,
              millis now);
  /// Returns the pools in which work waits for longer than a scheduling pass.
  std::vector<pool_backlog> Finish(const fleet::fleet_config& config,
                                   const run_time_model& run_times);

 private:
  /// Work of one pool.
  struct pool_work {
    pool_backlog backlog;
    std::map<backlog_claim, team_backlog> teams;
    std::set<std::string> queues;
  };

  /// What the batch tasks of a team use or wait for, in all pools.
  struct team_demand {
    fleet::resources needs;
    double millicores = 0;  ///< Effective millicores.
  };
  /// A job while it is added.
  struct added_job {
    const job_state& job;
    double run_time_ratio = 1;  ///< Actual to estimated run time.
    job_urgency urgency;
  };

  /// Adds a batch step.
  void AddStep(const added_job& added, std::size_t step_number,
               const step_state& state, bool is_ready, pool_work& pool);
  /// Subtracts the use of a long-running step from the room of its pool.
  void AddLongRunning(const std::string& team, const fleet::task_step& step,
                      const step_state& state, pool_backlog& pool);
  /// Sets the weight and the limit of a team from the configuration.
  void ApplyConfig(const fleet::fleet_config& config, team_backlog& team) const;

  std::map<std::string, pool_work> pools_;     ///< By pool name.
  std::map<std::string, team_demand> demand_;  ///< By team name.
  /// By team name, the use of its long-running tasks.
  std::map<std::string, fleet::resources> long_running_;
};

}  // namespace radishwing::sched
