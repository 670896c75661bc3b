#pragma once

#include <string>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// Prints the leader, the current term and the nodes that are registered in the
/// store.
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
/// Prints the number of stored jobs in each state.
exit_code ShowJobs(const command_context& context);
/// Prints what the store holds for the job `job_id`, such as its state and its
/// team.
exit_code ShowJob(const command_context& context, const std::string& job_id);

}  // namespace radishwing::ctl
