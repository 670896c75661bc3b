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

/// State of a job for its caller.
enum class job_phase { kPending, kRunning, kSucceeded, kFailed, kCancelled };

/// Lower-case name of a phase.
std::string_view JobPhaseName(job_phase phase);

/// The inverse of JobPhaseName; an unknown name is kPending.
job_phase ParseJobPhase(std::string_view name);

/// Progress of one step.
struct step_state {
  std::vector<task_state> tasks;
  int done_count = 0;
};

/// One repetition of a job's steps.
struct repetition_state {
  std::vector<step_state> steps;
  bool done = false;
};

/// A job from its acceptance until its state need not be told any more.
struct job_state {
  fleet::job_record record;
  job_phase phase = job_phase::kPending;
  /// Runs of an earlier leader may exist that nobody has listed yet.
  bool restored = false;
  bool long_running = false;
  bool started = false;  ///< Some task has been ordered to start.
  millis accepted_at = 0;
  millis chain_ms = 0;       ///< Longest chain of all steps, as estimated.
  millis chain_left_ms = 0;  ///< Longest chain of what is not done.
  millis finished_at = -1;
  /// Data centres whose runners may have runs of the job.
  std::set<std::string> data_centres;
  bool anywhere = false;  ///< The record that names them is unreadable.
  std::uint64_t data_centres_change = 0;  ///< The change that added the last.
  int created_repetitions = 0;
  int active_runs = 0;                          ///< Runs that may be there.
  std::map<int, repetition_state> repetitions;  ///< Those that are due.
  std::uint64_t change = 0;           ///< Counts changes that must be kept.
  std::uint64_t kept_change = 0;      ///< Newest change that the store has.
  std::uint64_t record_revision = 0;  ///< Of its progress key; 0: none.
  bool listed_as_changed = false;
  bool write_in_flight = false;

  bool Finished() const { return phase >= job_phase::kSucceeded; }
  /// Time from acceptance in which the job should end, by its estimates.
  millis ObjectiveMs() const {
    return static_cast<millis>(record.stretch * static_cast<double>(chain_ms)) +
           record.target_ms;
  }
};

}  // namespace radishwing::sched
