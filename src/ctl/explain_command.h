#pragma once

#include <string>
#include <vector>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// Prints the node log lines that explain the outcome of a job, ordered by
/// time: lines that mention the job and, between the first and the last of
/// these, lines about the runners of its tasks and about changes of the leader,
/// the nodes and the store.
exit_code ExplainJob(const command_context& context, const std::string& id,
                     const std::vector<std::string>& files);

}  // namespace radishwing::ctl
