#pragma once

#include <cstdint>
#include <string>

namespace radishwing::sched {

/// The end of a run. As soon as version `progress_version` of the job's
/// progress is persisted, the leader may acknowledge the end to the runner.
struct recorded_end {
  std::uint64_t end_number = 0;  ///< Sequence number of the end on the runner.
  std::string job;  ///< Id of the job; empty if nothing has to be persisted.
  std::uint64_t progress_version = 0;  ///< Version of the job's progress.
};

}  // namespace radishwing::sched
