#pragma once

#include <string>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// Prints the leader of the shard, its term and the live nodes.
exit_code ShowStatus(const command_context& context);
/// Prints the pools of the current configuration and their runners.
exit_code ShowPools(const command_context& context);
/// Prints the teams of the current configuration and their limits.
exit_code ShowTeams(const command_context& context);
/// Prints the maintenance waves and how many hosts of each have begun.
exit_code ShowWaves(const command_context& context);
/// Prints the number of jobs in each state.
exit_code ShowJobs(const command_context& context);
/// Prints the stored data of a job.
exit_code ShowJob(const command_context& context, const std::string& id);

}  // namespace radishwing::ctl
