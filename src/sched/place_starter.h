#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "src/sched/scheduler.h"

namespace radishwing::sched {

/// Decides for tasks that run faster at a place, the rack of their data or one
/// rack for a whole gang, whether they wait for room there or start elsewhere.
///
/// A pass has two phases. In the first one, the tasks of each step take room at
/// their place in the scheduler's order. Each task that could start only
/// elsewhere books the room that is expected at its place, and waits if that is
/// soon enough. Otherwise it starts elsewhere: now if no task waits for that
/// room, or else in the second phase, in room that the first one left. A
/// waiting task holds no room. Lives for one call of the scheduler.
class place_starter {
 public:
  /// When a task starts: now, in the second phase of the pass, or in a later
  /// pass.
  enum class start_time { kNow, kEndOfPass, kLater };

  explicit place_starter(scheduler& owner, millis now)
      : owner_(owner), now_(now) {}

  /// Returns true if tasks of the step run faster at a place and end by
  /// themselves.
  static bool HasPlace(const fleet::task_step& step);
  /// Returns true if a run of the step on `rack` is away from its data.
  static bool IsAway(const fleet::task_step& step, const std::string& rack);

  /// Records that a task of the step, if it has data, has no room near it.
  void WantRack(const job_state& job, const fleet::task_step& step);
  /// First phase: decides for one task that could start on `rack`, which may be
  /// away from its place or wanted by other tasks. All calls of an object are
  /// for the same step.
  start_time Decide(job_state& job, int repetition_number,
                    repetition_state& repetition, int step_number,
                    const task_state& task, const std::string& rack);
  /// First phase: defers the tasks for which Decide() returned kEndOfPass.
  void EndStep();
  /// First phase: places all members of a gang with the given run number, at
  /// their place if it has room for all. Returns their start orders, none if
  /// there is no room, or nullopt if the gang waits for its place.
  std::optional<std::vector<order>> PlaceGang(job_state& job,
                                              int repetition_number,
                                              repetition_state& repetition,
                                              int step_number, int run);
  /// Second phase: starts the deferred tasks and ends the pass.
  void StartDeferred(std::vector<order>& out);
  /// Subtracts a task that starts on `runner` from the room that is expected
  /// there.
  void RecordPlacement(const job_state& job, const fleet::task_step& step,
                       const runner_state& runner);
  /// Counts a start of a task of a step that waits or has waited, and reports
  /// the end of the wait with the step's last start.
  void RecordStart(const job_state& job, int repetition_number, int step_number,
                   step_state& state, bool away);
  /// Ends the wait of a step if runners have confirmed the starts of all of its
  /// tasks.
  static void EndWaitIfStarted(step_state& state);
  /// Returns true if the known runs of a gang are not all at its place.
  bool IsGangAway(const fleet::task_step& step, const step_state& state) const;
  /// Learns from the run of a task that ended well after `run_ms`. Returns
  /// false if the run was away from its place and thus says nothing about run
  /// times at it.
  bool LearnFromEnd(const scheduler::task_ref& ref, const std::string& runner,
                    millis run_ms);
  /// Returns the name under which the speed of the step's tasks away from their
  /// place is learned.
  static std::string SpeedClass(const job_state& job,
                                const fleet::task_step& step);

 private:
  /// A runner at a place, with the number of tasks of a step that it may still
  /// get.
  struct place_slots {
    const runner_state* runner = nullptr;
    int count = 0;
  };
  /// A step that waits, with what the decisions about its tasks need.
  struct waiting_step {
    job_state& job;
    int repetition_number = 0;
    int step_number = 0;
    const fleet::task_step& step;
    step_state& state;
    millis deadline = 0;
  };

  /// Returns the runners that the step can wait for: healthy, not about to
  /// leave, and at the step's place.
  std::vector<place_slots> FindPlaceRunners(const job_state& job,
                                            const fleet::task_step& step,
                                            int repetition,
                                            int step_number) const;
  /// Returns the rack on which all members of the gang have room, the fullest
  /// one if there are several.
  std::optional<std::string> FindGangRack(const job_state& job,
                                          const fleet::task_step& step,
                                          const std::string& step_name) const;
  place_wait_terms Terms(job_state& job, const fleet::task_step& step,
                         const step_state& state) const;
  /// Sets `waiting_` and the runners that the step can wait for. Returns false
  /// if its tasks may not wait.
  bool BeginWait(job_state& job, int repetition_number,
                 repetition_state& repetition, int step_number);
  void StartElsewhere(const deferred_step& entry, std::vector<order>& out);
  /// Books room at the place for a task. Returns the time from which it is
  /// expected, or room_forecast::kNever if that is not in time. Room that is
  /// free already is not booked.
  millis BookTask(const waiting_step& waiting, const task_state& task,
                  std::vector<place_slots>& runners);
  /// Books room for all members of a gang on the rack that is expected to have
  /// it first, and makes others leave that rack to it. Returns as BookTask.
  bool BookGang(const waiting_step& waiting,
                std::span<const place_slots> runners);
  /// Returns the time at which the runners of one rack are expected to have
  /// room for all members of a gang, or room_forecast::kNever. Sets the count
  /// of each runner to the number of members that it would get.
  millis FindGangStart(const waiting_step& waiting,
                       std::vector<place_slots>& runners);
  /// Returns true if the step waits for room that is expected at `expected_at`.
  bool IsInTime(const waiting_step& waiting, millis expected_at) const;
  room_forecast& Forecast(const runner_state& runner);
  millis ExpectedEnd(const scheduler::task_ref& ref, const run_state& run,
                     const runner_state& runner) const;
  void ReportWait(const waiting_step& waiting, const std::string& rack,
                  millis expected_at);

  scheduler& owner_;
  millis now_;
  bool decided_ = false;                 ///< Decide() has called BeginWait().
  std::optional<waiting_step> waiting_;  ///< Set if the step may wait.
  std::vector<place_slots> runners_;
  std::optional<deferred_step> deferred_;  ///< Tasks for the second phase.
};

}  // namespace radishwing::sched
