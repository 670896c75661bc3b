#include "src/node/leader_impl.h"

// Questions to the advice service.

namespace radishwing::node {
namespace {

// Pause after a question that failed.
constexpr millis kAdviceRetryMs = 250;

}  // namespace

void leader::impl::AskAdvice() {
  const auto wanted = scheduler.TakeAdviceRequests();
  const millis now = context.now.Now();
  if (wanted.empty() || advice_in_flight || now < ask_advice_at) return;
  if (!advice) {
    auto made = platform::advice_client::Make(context.io,
                                              context.settings.advice_address);
    if (!Ok(made)) {
      context.log.Warning("advice",
                          "address unusable, error=" + Error(made).message);
      ask_advice_at = now + kAdviceRetryMs;
      return;
    }
    advice = std::move(Value(made));
  }
  advice_in_flight = true;
  const sched::advice_request& asked = wanted.front();
  advice->Ask(asked.step, asked.runners,
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
                   "question answered, step=" + asked.step +
                       " runners=" + std::to_string(asked.runners.size()) +
                       " took_ms=" + std::to_string(now - sent_at) + " " +
                       outcome);
  if (Ok(allowed)) {
    scheduler.AdviceGiven(asked, Value(allowed), sent_at);
  } else {
    ask_advice_at = now + kAdviceRetryMs;
  }
  Kick();
}

}  // namespace radishwing::node
