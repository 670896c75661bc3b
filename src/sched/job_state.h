#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/job_record.h"
#include "src/sched/place_wait.h"
#include "src/sched/task_state.h"

namespace radishwing::sched {

/// Phase of a job, as reported to the client that submitted it.
enum class job_phase { kPending, kRunning, kSucceeded, kFailed, kCancelled };

/// Returns the lower-case name of a phase.
std::string_view JobPhaseName(job_phase phase);

/// Returns the phase with the given name, or kPending if the name is unknown.
job_phase ParseJobPhase(std::string_view name);

struct share_account;

/// Progress of one step in one repetition of a job.
struct step_state {
  std::vector<task_state> tasks;
  int done_count = 0;  ///< Number of tasks that are done.
  place_wait_state place_wait;
  /// True if the most recent runs of a gang are not all at its place.
  bool gang_away = false;
};

/// Progress of one repetition of a job's steps.
struct repetition_state {
  /// Empty if an earlier leader has finished the repetition.
  std::vector<step_state> steps;
  bool done = false;  ///< True if all steps are done.
};

/// A job in the scheduler. The scheduler keeps the job from its acceptance
/// until the retention time after its end is over.
struct job_state {
  fleet::job_record record;  ///< The job as accepted.
  /// Identifies this state among all states of the job that leaders have had in
  /// memory. The progress record names the state that it was written from.
  std::string author;
  job_phase phase = job_phase::kPending;
  /// What the job's team uses of its pool. Set when the scheduler adds the job.
  share_account* account = nullptr;
  /// An earlier leader may have started runs of the job on runners whose first
  /// listing to this leader has not arrived. The job waits for these listings.
  bool awaits_listings = false;
  bool long_running = false;  ///< At least one step is long-running.
  /// True once a runner has confirmed the start of a task, or the progress
  /// record shows that one has run.
  bool started = false;
  millis accepted_at = 0;  ///< Time of the job's acceptance.
  /// Length of the critical path through all steps, by the caller's estimates.
  millis critical_path_ms = 0;
  /// Length of the critical path through the unfinished steps of the first
  /// unfinished repetition.
  millis remaining_critical_path_ms = 0;
  millis finished_at = -1;  ///< Time of the job's end; -1 before it.
  /// Names of the data centres whose runners may have runs of the job. The
  /// job's progress record in the store includes them.
  std::set<std::string> data_centres;
  /// True if the job's progress record is unreadable, so that its runs may be
  /// in any data centre.
  bool data_centres_unknown = false;
  /// Highest run number that the job's progress record has for this leader
  /// beyond the range of its term; 0: none.
  int run_limit = 0;
  /// Highest such number that earlier leaders may have used; 0: none.
  int earlier_run_limit = 0;
  /// Lowest version of the job's progress whose record in the store names all
  /// of `data_centres` and `run_limit`.
  std::uint64_t covering_version = 0;
  int created_repetitions = 0;  ///< Number of repetitions created so far.
  int active_runs = 0;          ///< Number of runs that may exist on a runner.
  /// Number of repetitions that may be begun and not done at once.
  int max_open_repetitions = 1;
  /// Repetitions whose due time has come, by number.
  std::map<int, repetition_state> repetitions;
  /// Version of the job's progress. Every change that has to be persisted
  /// increments it.
  std::uint64_t progress_version = 0;
  /// Highest progress version that is known to be in the store.
  std::uint64_t persisted_version = 0;
  /// Store revision of the job's progress record; 0 if there is no record.
  std::uint64_t record_revision = 0;
  /// The progress to write has more than ends of tasks: the job's end, or what
  /// its starts or its cancellation wait for.
  bool write_urgent = false;
  /// Time at which the queued write was first considered; -1: not yet.
  millis write_considered_at = -1;
  bool write_queued = false;  ///< The job is in the queue of jobs to write.
  /// The caller took a write of the progress and has not reported the result of
  /// the write yet.
  bool write_in_flight = false;
  /// The job is written in a commit of its own, as it may fail that of others.
  bool write_alone = false;
  int write_conflicts = 0;  ///< Number of conflicts since the last write.
  /// Time until which the job is not written, because the store refuses it.
  millis write_held_until = -1;

  bool IsFinished() const { return phase >= job_phase::kSucceeded; }
  /// Returns the target for the time from the acceptance of the job to its end,
  /// by the caller's estimates.
  millis ObjectiveMs() const {
    return static_cast<millis>(record.stretch *
                               static_cast<double>(critical_path_ms)) +
           record.target_ms;
  }
};

}  // namespace radishwing::sched
