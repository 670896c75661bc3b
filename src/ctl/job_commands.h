#pragma once

#include <string>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// `jobs list` and `jobs show`.
exit_code ShowJobs(const command_context& context);
exit_code ShowJob(const command_context& context, const std::string& job);

/// `jobs cancel`. Cancelling twice has the effect of once, so a lost answer is
/// resolved by reading the job.
exit_code CancelJob(const command_context& context, const std::string& job);

}  // namespace radishwing::ctl
