#include <algorithm>

#include "src/sched/scheduler.h"

// Steps of queues whose policy allows only some runners.

namespace radishwing::sched {
namespace {

// Runners named in one question. The service takes time for each of them and
// at most 100; the rules grant a step one question about 30.
constexpr std::size_t kRunnersPerQuestion = 30;
// What a ticket's start may be on its way.
constexpr millis kTicketMarginMs = 300;

}  // namespace

std::string scheduler::StepName(const job_state& job, int repetition,
                                int step_number) {
  return job.record.id + "." + std::to_string(repetition) + "." +
         std::to_string(step_number);
}

// Asks of the emptiest runners that fit: they have room for most of the step.
void scheduler::AskAdvice(const job_state& job, const fleet::task_step& step,
                          const std::string& step_name, millis now) {
  std::vector<const runner_state*> unknown;
  for (const runner_state* runner : pools_[job.record.pool]) {
    const std::string& id = runner->report.id;
    if (Usable(*runner, step, now) && !tickets_.Refused(step_name, id) &&
        !tickets_.Find(step_name, id, now)) {
      unknown.push_back(runner);
    }
  }
  if (unknown.empty()) return;
  std::ranges::stable_sort(unknown, {}, [](const runner_state* runner) {
    return runner->used.cpu_millis - runner->report.capacity.cpu_millis;
  });
  advice_request request{step_name, {}, job.record.ticket_valid_ms};
  for (const runner_state* runner : unknown) {
    if (request.runners.size() >= kRunnersPerQuestion) break;
    request.runners.push_back(runner->report.id);
  }
  advice_wanted_.push_back(std::move(request));
}

std::vector<advice_request> scheduler::TakeAdviceRequests() {
  return std::exchange(advice_wanted_, {});
}

void scheduler::AdviceGiven(const advice_request& request,
                            const std::vector<fleet::runner_ticket>& allowed,
                            millis sent_at) {
  tickets_.Answered(request.step, request.runners, allowed,
                    sent_at + request.valid_ms - kTicketMarginMs);
}

}  // namespace radishwing::sched
