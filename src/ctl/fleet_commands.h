#pragma once

#include <string>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// Prints the leader node, the current term and the live nodes.
exit_code ShowStatus(const command_context& context);
/// Prints the pools of the current configuration, with the number and the total
/// capacity of their runners.
exit_code ShowPools(const command_context& context);
/// Prints the teams of the current configuration, with their weights and
/// resource limits.
exit_code ShowTeams(const command_context& context);
/// Prints the maintenance waves, with the number of hosts whose maintenance has
/// begun.
exit_code ShowWaves(const command_context& context);
/// Prints the number of jobs in each state.
exit_code ShowJobs(const command_context& context);
/// Prints the state of one job and the other data that the store holds for it.
exit_code ShowJob(const command_context& context, const std::string& job_id);

}  // namespace radishwing::ctl
