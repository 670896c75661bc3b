#include "src/jobs/job_fit.h"

#include <algorithm>
#include <string_view>

namespace radishwing::jobs {
namespace {

void AddMissing(std::string& text, std::string_view what, std::uint32_t needed,
                std::uint32_t most) {
  if (needed <= most) return;
  if (!text.empty()) text += "; ";
  text += std::string(what) + ": " + std::to_string(needed) +
          " needed, at most " + std::to_string(most) + " on one host";
}

}  // namespace

bool Fits(const job_record& job, const platform::host_info& host) {
  return job.cores <= host.cores && job.memory_mb <= host.memory_mb &&
         job.accelerators <= host.accelerators;
}

std::string MissingFor(const job_record& job,
                       std::span<const platform::host_info> hosts) {
  platform::host_info most;
  for (const platform::host_info& host : hosts) {
    if (Fits(job, host)) return {};
    most.cores = std::max(most.cores, host.cores);
    most.memory_mb = std::max(most.memory_mb, host.memory_mb);
    most.accelerators = std::max(most.accelerators, host.accelerators);
  }
  std::string text;
  AddMissing(text, "cores", job.cores, most.cores);
  AddMissing(text, "memory_mb", job.memory_mb, most.memory_mb);
  AddMissing(text, "accelerators", job.accelerators, most.accelerators);
  if (text.empty()) {
    text = "no host has " + std::to_string(job.cores) + " cores, " +
           std::to_string(job.memory_mb) + " memory_mb and " +
           std::to_string(job.accelerators) + " accelerators together";
  }
  return text;
}

}  // namespace radishwing::jobs
