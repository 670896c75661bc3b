#include "src/sched/job_steps.h"

#include <algorithm>

namespace radishwing::sched {
namespace {

bool StepDone(const repetition_state& repetition, std::size_t step) {
  const step_state& state = repetition.steps[step];
  return state.done_count == static_cast<int>(state.tasks.size());
}

}  // namespace

repetition_state MakeRepetition(const fleet::job_request& request) {
  repetition_state repetition;
  repetition.steps.resize(request.steps.size());
  for (std::size_t i = 0; i < request.steps.size(); ++i) {
    repetition.steps[i].tasks.resize(
        static_cast<std::size_t>(request.steps[i].count));
  }
  return repetition;
}

bool IsStepReady(const fleet::job_request& request,
                 const repetition_state& repetition, std::size_t step) {
  return std::ranges::all_of(request.steps[step].predecessors, [&](int before) {
    return StepDone(repetition, static_cast<std::size_t>(before));
  });
}

bool AllStepsDone(const repetition_state& repetition) {
  for (std::size_t i = 0; i < repetition.steps.size(); ++i) {
    if (!StepDone(repetition, i)) return false;
  }
  return true;
}

millis CriticalPathMs(const fleet::job_request& request,
                      const repetition_state* repetition) {
  std::vector<millis> finish(request.steps.size(), 0);
  millis longest = 0;
  for (std::size_t i = 0; i < request.steps.size(); ++i) {
    millis begin = 0;
    for (const int before : request.steps[i].predecessors) {
      begin = std::max(begin, finish[static_cast<std::size_t>(before)]);
    }
    const bool step_done = repetition && StepDone(*repetition, i);
    finish[i] = begin + (step_done ? 0 : request.steps[i].estimate_ms);
    longest = std::max(longest, finish[i]);
  }
  return longest;
}

}  // namespace radishwing::sched
