#pragma once

#include <string>
#include <vector>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// Prints the lines of node logs that explain what became of one job, in the
/// order of time: those that name the job, what happened meanwhile to the
/// runners that had its tasks, and changes of the leader and the store.
exit_code ExplainJob(const command_context& context, const std::string& id,
                     const std::vector<std::string>& files);

}  // namespace radishwing::ctl
