#include <algorithm>

#include "src/sched/scheduler.h"

// Obtains tickets for the steps of jobs whose queue allows only some runners.

namespace radishwing::sched {
namespace {

// Maximum number of runners that one query names. The platform's rules allow
// one query that names 30 runners for each step. The advice service accepts 100
// in a query, but its response time grows with the number of runners.
constexpr std::size_t kMaxRunnersPerRequest = 30;
// Minimum remaining validity of a ticket that the scheduler uses: the maximum
// transit time of a start order with the ticket.
constexpr millis kTicketMarginMs = 300;

}  // namespace

std::string scheduler::StepName(const job_state& job, int repetition,
                                int step_number) {
  return job.record.id + "." + std::to_string(repetition) + "." +
         std::to_string(step_number);
}

// Queues a query to the advice service. The query names the suitable runners
// with the most free processor capacity, as these runners can take the most
// tasks.
void scheduler::RequestAdvice(const job_state& job,
                              const fleet::task_step& step,
                              const std::string& step_name, millis now) {
  std::vector<const runner_state*> unknown;
  for (const runner_state* runner : schedulable_runners_[job.record.pool]) {
    const std::string& id = runner->report.id;
    if (CanPlaceStep(*runner, step) && !tickets_.IsDenied(step_name, id) &&
        !tickets_.Find(step_name, id, now)) {
      unknown.push_back(runner);
    }
  }
  if (unknown.empty()) return;
  std::ranges::stable_sort(unknown, {}, [](const runner_state* runner) {
    return runner->used.cpu_millicores - runner->report.capacity.cpu_millicores;
  });
  advice_request request{step_name, {}, job.record.ticket_valid_ms};
  for (const runner_state* runner : unknown) {
    if (request.runners.size() >= kMaxRunnersPerRequest) break;
    request.runners.push_back(runner->report.id);
  }
  advice_requests_.push_back(std::move(request));
}

std::vector<advice_request> scheduler::TakeAdviceRequests() {
  return std::exchange(advice_requests_, {});
}

void scheduler::ApplyAdvice(const advice_request& request,
                            const std::vector<fleet::runner_ticket>& allowed,
                            millis sent_at) {
  tickets_.Update(request.step, request.runners, allowed,
                  sent_at + request.valid_ms - kTicketMarginMs);
}

}  // namespace radishwing::sched
