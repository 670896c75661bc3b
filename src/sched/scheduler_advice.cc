#include <algorithm>

#include "src/sched/scheduler.h"

// Obtains tickets for the steps of jobs whose queue allows only some runners.

namespace radishwing::sched {
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
  const advice_budget& budget = advice_budgets_[job.record.queue];
  std::size_t limit = budget.MaxRunners(job.record.ticket_valid_ms);
  if (step.gang) {
    // The tickets of several queries may not be valid at the same time.
    limit = std::max(limit, std::min(static_cast<std::size_t>(step.count),
                                     advice_budget::kMaxRunnersPerRequest));
  }
  advice_request request;
  request.step = step_name;
  request.valid_ms = job.record.ticket_valid_ms;
  request.queue = job.record.queue;
  for (const runner_state* runner : unknown) {
    if (request.runners.size() >= limit) break;
    request.runners.push_back(runner->report.id);
  }
  request.timeout_ms = budget.TimeoutMs(request.runners.size());
  advice_requests_.push_back(std::move(request));
}

std::vector<advice_request> scheduler::TakeAdviceRequests() {
  return std::exchange(advice_requests_, {});
}

millis scheduler::ApplyAdvice(const advice_request& request,
                              const std::vector<fleet::runner_ticket>& allowed,
                              millis sent_at, millis now) {
  advice_budgets_[request.queue].RecordResponse(request.runners.size(),
                                                now - sent_at);
  const millis margin = advice_budget::TicketMarginMs(request.valid_ms);
  // The service issues the tickets at an unknown time between the request and
  // the response. If they are of no use counted from the request, they are
  // tried until a runner refuses one, as another query takes as long.
  const millis counted_from_request = sent_at + request.valid_ms - margin;
  const millis expires_at = counted_from_request >= now + margin
                                ? counted_from_request
                                : now + request.valid_ms - margin;
  tickets_.Update(request.step, request.runners, allowed, counted_from_request,
                  expires_at);
  return expires_at - now;
}

void scheduler::ReportAdviceFailure(const advice_request& request,
                                    millis waited) {
  advice_budgets_[request.queue].RecordFailure(request.runners.size(), waited);
}

}  // namespace radishwing::sched
