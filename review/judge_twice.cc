#include "review/scenarios.h"

namespace review {

outcome JudgeTwice(deployment& system) {
  // TWICE: a start after a run of the task has ended done, if that end is taken
  // note of then or later.
  int twice = 0;
  for (const run_record& first : system.runs) {
    if (first.how != "done" || first.noted_at < 0) continue;
    for (const run_record& later : system.runs) {
      if (later.task != first.task || later.started_at < first.ended_at ||
          &later == &first) {
        continue;
      }
      ++twice;
      system.record.Write(
          "TWICE: task " + first.task + " run " + std::to_string(first.run) +
          " ended done on " + first.runner + " at " +
          std::to_string(first.ended_at) + " ms, noted at " +
          std::to_string(first.noted_at) + " ms; run " +
          std::to_string(later.run) + " started on " + later.runner + " at " +
          std::to_string(later.started_at) + " ms");
    }
  }
  system.record.Write(std::to_string(system.runs.size()) + " runs, " +
                      std::to_string(twice) + " of a task that was done");
  return twice == 0 ? outcome::kHeld : outcome::kBroken;
}

}  // namespace review
