#pragma once

#include <string>
#include <vector>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// Prints the lines of the node logs `log_files` that mention the job, ordered
/// by time. Between the first and the last line that mention the job, also
/// prints the lines about the runners of the job's tasks, the leader, the nodes
/// and the store.
exit_code ExplainJob(const command_context& context, const std::string& job_id,
                     const std::vector<std::string>& log_files);

}  // namespace radishwing::ctl
