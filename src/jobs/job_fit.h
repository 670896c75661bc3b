#pragma once

#include <span>
#include <string>

#include "src/jobs/job_record.h"
#include "src/platform/host_info.h"

namespace radishwing::jobs {

/// True if an empty `host` has room for the job.
bool Fits(const job_record& job, const platform::host_info& host);

/// What no host of the fleet could ever give the job, for example
/// "accelerators: 9 needed, at most 8 on one host"; empty if some host fits.
/// Hosts that are down count, since they come back.
std::string MissingFor(const job_record& job,
                       std::span<const platform::host_info> hosts);

}  // namespace radishwing::jobs
