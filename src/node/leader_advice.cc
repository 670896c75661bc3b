#include "src/node/leader_impl.h"

// Requests to the advice service.

namespace radishwing::node {
namespace {

// Delay after a failed request.
constexpr millis kAdviceRetryMs = 250;

}  // namespace

void leader::impl::RequestAdvice() {
  const auto requests = scheduler.TakeAdviceRequests();
  const millis now = context.now.Now();
  if (requests.empty() || advice_in_flight || now < advice_retry_at) return;
  if (!advice) {
    auto client = platform::advice_client::Make(
        context.io, context.settings.advice_address);
    if (!Ok(client)) {
      context.log.Warning(
          "advice", "invalid service address, error=" + Error(client).message);
      advice_retry_at = now + kAdviceRetryMs;
      return;
    }
    advice = std::move(Value(client));
  }
  advice_in_flight = true;
  const sched::advice_request& asked = requests.front();
  advice->RequestAdvice(
      asked.step, asked.runners,
      [weak = weak_from_this(), asked,
       now](const result<std::vector<fleet::runner_ticket>>& allowed) {
        const auto self = weak.lock();
        if (self && !self->ended) self->OnAdvice(asked, allowed, now);
      });
}

void leader::impl::OnAdvice(
    const sched::advice_request& asked,
    const result<std::vector<fleet::runner_ticket>>& allowed, millis sent_at) {
  advice_in_flight = false;
  const millis now = context.now.Now();
  const std::string outcome =
      Ok(allowed) ? "allowed=" + std::to_string(Value(allowed).size())
                  : "error=" + Error(allowed).message;
  context.log.Info("advice",
                   "advice request completed, step=" + asked.step +
                       " runners=" + std::to_string(asked.runners.size()) +
                       " took_ms=" + std::to_string(now - sent_at) + " " +
                       outcome);
  if (Ok(allowed)) {
    scheduler.ApplyAdvice(asked, Value(allowed), sent_at);
  } else {
    advice_retry_at = now + kAdviceRetryMs;
  }
  SchedulePlan();
}

}  // namespace radishwing::node
