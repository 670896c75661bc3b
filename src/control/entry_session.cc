#include "src/control/entry_session.h"

#include <kj/debug.h>

#include <utility>

#include "src/rpc/convert.h"

namespace radishwing::control {

using rpc::Read;
using rpc::ReadList;
using rpc::ToString;
using rpc::ToText;
using rpc::Write;

entry_session::~entry_session() noexcept(false) {
  if (!alive_.expired()) registry_.Close(id_);
}

entry_state& entry_session::Require() {
  entry_state* state = registry_.Find(id_);
  KJ_REQUIRE(state != nullptr && state->stated, "the session is not open");
  return *state;
}

kj::Promise<void> entry_session::report(ReportContext context) {
  entry_state* state = registry_.Find(id_);
  KJ_REQUIRE(state != nullptr, "the session was closed");
  auto params = context.getParams();
  state->last_report_ms = registry_.clock_.Now();
  state->settings_revision = params.getSettingsRevision();
  state->table_version = params.getTableVersion();
  state->in_flight = ReadList<rpc::host_in_flight>(params.getInFlight());
  state->counters = ReadList<rpc::service_counters>(params.getCounters());
  const entry_handlers& handlers = registry_.handlers;
  if (!std::exchange(state->stated, true) && handlers.on_opened) {
    handlers.on_opened(state->Owner(),
                       ReadList<rpc::token_grant>(params.getHeldTokens()));
  }
  if (handlers.on_usage) {
    handlers.on_usage(ReadList<rpc::team_usage>(params.getUsage()));
  }
  return kj::READY_NOW;
}

kj::Promise<void> entry_session::nextSnapshot(NextSnapshotContext context) {
  Require();
  auto params = context.getParams();
  bool newer = registry_.settings_.Revision() > params.getSettingsRevision() ||
               registry_.table_.Version() != params.getTableVersion();
  if (newer) return AnswerSnapshot(context);
  return registry_.changed_.Next(registry_.timing_.snapshot_wait_ms)
      .then([this, context]() mutable { return AnswerSnapshot(context); });
}

kj::Promise<void> entry_session::AnswerSnapshot(NextSnapshotContext context) {
  auto params = context.getParams();
  auto results = context.getResults();
  if (registry_.settings_.Revision() > params.getSettingsRevision()) {
    Write(registry_.settings_.Text(), results.initSettings());
  }
  auto table = results.initTable();
  table.setVersion(registry_.table_.Version());
  if (registry_.table_.Version() != params.getTableVersion()) {
    const auto& runners = registry_.table_.Runners();
    rpc::WriteList(runners, table.initRunners(runners.size()));
  }
  results.setCutOffMillis(registry_.cut_off_ms ? registry_.cut_off_ms() : 0);
  return kj::READY_NOW;
}

kj::Promise<void> entry_session::acquireTokens(AcquireTokensContext context) {
  auto params = context.getParams();
  std::string owner = Require().Owner();
  KJ_REQUIRE(registry_.handlers.acquire != nullptr, "no tokens here");
  return registry_.handlers
      .acquire(owner, ToString(params.getTeam()), params.getWant())
      .then([context](rpc::token_grant granted) mutable {
        Write(granted, context.getResults().initGranted());
      });
}

kj::Promise<void> entry_session::returnTokens(ReturnTokensContext context) {
  std::string owner = Require().Owner();
  if (registry_.handlers.give_back) {
    registry_.handlers.give_back(owner, Read(context.getParams().getTokens()));
  }
  return kj::READY_NOW;
}

kj::Promise<void> entry_session::claim(ClaimContext context) {
  requests::claim claimed = Read(context.getParams().getClaim());
  Require();
  if (!registry_.handlers.claim) {
    Write(requests::claim_answer(), context.getResults().initAnswer());
    return kj::READY_NOW;
  }
  return registry_.handlers.claim(claimed).then(
      [context](requests::claim_answer answer) mutable {
        Write(answer, context.getResults().initAnswer());
      });
}

kj::Promise<void> entry_session::finish(FinishContext context) {
  auto params = context.getParams();
  Require();
  if (!registry_.handlers.finish) return kj::READY_NOW;
  return registry_.handlers.finish(
      ToString(params.getRequestId()), ToString(params.getOwner()),
      Read(params.getOutcome()), params.getStatus());
}

kj::Promise<void> entry_session::job(JobContext context) {
  Require();
  if (!registry_.handlers.job) {
    Write(rpc::job_answer{503, "jobs_unavailable", ""},
          context.getResults().initAnswer());
    return kj::READY_NOW;
  }
  return registry_.handlers.job(Read(context.getParams().getRequest()))
      .then([context](rpc::job_answer answer) mutable {
        Write(answer, context.getResults().initAnswer());
      });
}

kj::Promise<void> entry_session::cancelRequest(CancelRequestContext context) {
  auto params = context.getParams();
  Require();
  if (!registry_.handlers.cancel) return kj::READY_NOW;
  return registry_.handlers
      .cancel(ToString(params.getRequestId()), ToString(params.getTeam()))
      .then([context](bool found) mutable {
        context.getResults().setFound(found);
      });
}

kj::Promise<void> entry_session::attach(AttachContext context) {
  entry_state* state = registry_.Find(id_);
  KJ_REQUIRE(state != nullptr, "the session was closed");
  state->callback = context.getParams().getCallback();
  return kj::READY_NOW;
}

}  // namespace radishwing::control
