#include "src/sched/job_rank.h"

namespace radishwing::sched {
namespace {

// Multiple of its objective beyond which a job has no value left.
constexpr int kLateFactor = 3;
// Part of its remaining run time by which a job that has not started can take
// longer than expected: the slowest of a step's tasks decides when the step
// ends. Without this margin, a backlog would be started in the order of its
// deadlines, and each job would end just after its own.
constexpr double kRunTimeMargin = 0.3;

}  // namespace

job_rank RankJob(const job_state& job, double run_time_ratio, millis now) {
  job_rank rank{.priority = job.record.priority};
  if (job.long_running) return rank;
  const auto objective = static_cast<millis>(
      job.record.stretch * static_cast<double>(job.critical_path_ms) *
          run_time_ratio +
      static_cast<double>(job.record.target_ms));
  const double remaining =
      static_cast<double>(job.remaining_critical_path_ms) * run_time_ratio;
  const millis age = now - job.accepted_at;
  const bool begun = job.started || job.active_runs > 0;
  const auto latest_age = [&](millis bound) {
    return bound - static_cast<millis>(remaining);
  };
  rank.stage = begun ? 0 : 1;
  rank.latest_start = job.accepted_at + latest_age(objective);
  if (age <= latest_age(objective)) {
    rank.prospect = job_prospect::kInTime;
    const auto margin = static_cast<millis>(kRunTimeMargin * remaining);
    if (!begun && age > latest_age(objective) - margin) rank.stage = 2;
    rank.order = rank.latest_start;
  } else if (age <= latest_age(kLateFactor * objective)) {
    rank.prospect = job_prospect::kLate;
    rank.order = job.accepted_at + latest_age(kLateFactor * objective);
  } else {
    rank.prospect = job_prospect::kWorthless;
    rank.order = job.accepted_at;
  }
  return rank;
}

}  // namespace radishwing::sched
