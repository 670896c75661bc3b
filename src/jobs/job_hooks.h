#pragma once

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "src/jobs/job_record.h"
#include "src/platform/host_info.h"

namespace radishwing::jobs {

/// What jobs need from the control process. All run on the thread of the
/// io_context.
struct job_hooks {
  /// Every host that may run jobs, those that are down included. Empty while
  /// they are not known.
  std::function<std::vector<platform::host_info>()> hosts;
  /// A host with room for the job now, none of `avoid`; nothing if there is
  /// none now.
  std::function<std::optional<std::string>(const job_record& job,
                                           std::span<const std::string> avoid)>
      choose_host;
  /// Asks for a token of the team's upper limit, for one task. The completion
  /// must run once, with false if there is none now.
  std::function<void(const std::string& team, std::function<void(bool)>)>
      acquire_token;
  std::function<void(const std::string& team)> release_token;
};

}  // namespace radishwing::jobs
