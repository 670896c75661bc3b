#include "src/node/leader_impl.h"

// Requests to the advice service.

namespace radishwing::node {
namespace {

// Minimum time from a failed request to the next one.
constexpr millis kAdviceRetryDelayMs = 250;

}  // namespace

void leader::impl::RequestAdvice() {
  const auto requests = scheduler.TakeAdviceRequests();
  const millis sent_at = context.now.Now();
  advice_order.Observe(requests);
  if (requests.empty() || advice_in_flight || sent_at < advice_retry_at) return;
  if (!advice) {
    auto client = platform::advice_client::Make(
        context.io, context.settings.advice_address);
    if (!Ok(client)) {
      context.log.Warning(
          "advice", "invalid service address, error=" + Error(client).message);
      advice_retry_at = sent_at + kAdviceRetryDelayMs;
      return;
    }
    advice = std::move(Value(client));
  }
  advice_in_flight = true;
  const sched::advice_request& request = requests[advice_order.Next(requests)];
  advice->RequestAdvice(
      request.step, request.runners, request.timeout_ms,
      [weak = weak_from_this(), request,
       sent_at](const result<std::vector<fleet::runner_ticket>>& permitted) {
        const auto self = weak.lock();
        if (self && !self->ended)
          self->OnAdviceResponse(request, permitted, sent_at);
      });
}

void leader::impl::OnAdviceResponse(
    const sched::advice_request& request,
    const result<std::vector<fleet::runner_ticket>>& permitted,
    millis sent_at) {
  advice_in_flight = false;
  const millis now = context.now.Now();
  std::string outcome;
  if (Ok(permitted)) {
    const millis usable_ms =
        scheduler.ApplyAdvice(request, Value(permitted), sent_at, now);
    outcome = "allowed=" + std::to_string(Value(permitted).size()) +
              " usable_ms=" + std::to_string(usable_ms);
  } else {
    scheduler.ReportAdviceFailure(request, now - sent_at);
    advice_retry_at = now + kAdviceRetryDelayMs;
    outcome = "error=" + Error(permitted).message;
  }
  context.metrics.RecordAdvice(Ok(permitted) ? "answered" : "failed",
                               now - sent_at);
  context.log.Info("advice",
                   "advice request completed, step=" + request.step +
                       " runners=" + std::to_string(request.runners.size()) +
                       " took_ms=" + std::to_string(now - sent_at) + " " +
                       outcome);
  SchedulePass();
}

}  // namespace radishwing::node
