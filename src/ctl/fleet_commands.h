#pragma once

#include <string>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// Prints the leader of the shard, its term and the live nodes.
exit_code ShowStatus(const command_context& context);
/// Prints the pools of the configuration in force with their runners.
exit_code ShowPools(const command_context& context);
/// Prints the teams of the configuration in force with their limits.
exit_code ShowTeams(const command_context& context);
/// Prints the maintenance waves with the hosts that have begun.
exit_code ShowWaves(const command_context& context);
/// Prints how many jobs are in each state.
exit_code ShowJobs(const command_context& context);
/// Prints what the store has of one job.
exit_code ShowJob(const command_context& context, const std::string& id);

}  // namespace radishwing::ctl
