#include "src/jobs/job_state.h"

#include <array>

namespace radishwing::jobs {
namespace {

constexpr std::array<std::string_view, 8> kNames = {
    "accepted", "starting", "running", "unknown",
    "finished", "failed",   "faulty",  "cancelled"};

}  // namespace

std::string_view JobStateName(job_state state) {
  return kNames[static_cast<std::size_t>(state)];
}

std::optional<job_state> ParseJobState(std::string_view name) {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames[i] == name) return static_cast<job_state>(i);
  }
  return std::nullopt;
}

bool HasEnded(job_state state) { return state >= job_state::kFinished; }

}  // namespace radishwing::jobs
