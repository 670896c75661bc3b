#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/job_record.h"
#include "src/sched/task_state.h"

namespace radishwing::sched {

/// State of a job as reported to its caller.
enum class job_phase { kPending, kRunning, kSucceeded, kFailed, kCancelled };

/// Returns the lower-case name of a phase.
std::string_view JobPhaseName(job_phase phase);

/// Inverse of JobPhaseName. Returns kPending for an unknown name.
job_phase ParseJobPhase(std::string_view name);

/// Progress of one step.
struct step_state {
  std::vector<task_state> tasks;
  int done_count = 0;
};

/// Progress of one repetition of a job's steps.
struct repetition_state {
  std::vector<step_state> steps;
  bool done = false;
};

/// A job, from its acceptance until the retention time of its state ends.
struct job_state {
  fleet::job_record record;
  job_phase phase = job_phase::kPending;
  /// Runs of an earlier leader may exist that no listing has included yet.
  bool recovering = false;
  bool long_running = false;
  bool started = false;  ///< At least one start order was issued.
  millis accepted_at = 0;
  /// Critical path of all steps, by the caller's estimates.
  millis critical_path_ms = 0;
  /// Critical path of the steps that are not done.
  millis remaining_critical_path_ms = 0;
  millis finished_at = -1;
  /// Data centres whose runners may have runs of the job, as recorded.
  std::set<std::string> data_centres;
  /// The progress record is unreadable, so runs may be in any data centre.
  bool data_centres_unknown = false;
  /// Value of `change` when `data_centres` was last extended.
  std::uint64_t data_centres_change = 0;
  int created_repetitions = 0;
  int active_runs = 0;  ///< Runs that may exist on a runner.
  std::map<int, repetition_state> repetitions;  ///< By number, if due.
  std::uint64_t change = 0;            ///< Number of changes to persist.
  std::uint64_t persisted_change = 0;  ///< Newest change in the store.
  std::uint64_t record_revision = 0;   ///< Of the progress key; 0: none.
  bool write_queued = false;
  bool write_in_flight = false;

  bool Finished() const { return phase >= job_phase::kSucceeded; }
  /// Target time from acceptance to the end of the job, by its estimates.
  millis ObjectiveMs() const {
    return static_cast<millis>(record.stretch *
                               static_cast<double>(critical_path_ms)) +
           record.target_ms;
  }
};

}  // namespace radishwing::sched
