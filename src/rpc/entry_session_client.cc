#include "src/rpc/entry_session_client.h"

#include <utility>

#include "src/base/log.h"
#include "src/rpc/call_failure.h"
#include "src/rpc/convert.h"

namespace radishwing::rpc {
namespace {

class callback final : public EntryCallback::Server {
 public:
  explicit callback(
      std::function<void(std::string_view, std::string_view)> on_cancel)
      : on_cancel_(std::move(on_cancel)) {}

  kj::Promise<void> cancel(CancelContext context) override {
    auto params = context.getParams();
    if (on_cancel_) {
      on_cancel_(ToString(params.getRequestId()), ToString(params.getTeam()));
    }
    context.getResults().setFound(on_cancel_ != nullptr);
    return kj::READY_NOW;
  }

 private:
  std::function<void(std::string_view, std::string_view)> on_cancel_;
};

}  // namespace

entry_session_client::entry_session_client(kj::AsyncIoContext& io,
                                           entry_link_options options,
                                           entry_link_hooks hooks)
    : io_(io),
      timer_(io.provider->getTimer()),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      last_contact_(clock_.Now()),
      tasks_(*this) {
  Cycle();
}

entry_session_client::~entry_session_client() = default;

void entry_session_client::taskFailed(kj::Exception&& exception) {
  LogWarning("link", std::string("task failed, reason=") +
                         exception.getDescription().cStr());
}

void entry_session_client::Cycle() {
  join_options join{options_.control_address,
                    options_.fleet_secret,
                    {options_.host, options_.data_centre, options_.incarnation,
                     std::string()},
                    options_.call_deadline_ms};
  tasks_.add(JoinAsEntry(io_, std::move(join))
                 .then([this](kj::Own<joined_entry> joined) {
                   return RunSession(std::move(joined));
                 })
                 .catch_([this](kj::Exception&& reason) { EndSession(reason); })
                 .then([this] {
                   return timer_.afterDelay(options_.reconnect_ms *
                                            kj::MILLISECONDS);
                 })
                 .then([this] { Cycle(); }));
}

kj::Promise<void> entry_session_client::RunSession(
    kj::Own<joined_entry> joined) {
  session_ = std::move(joined);
  asked_table_ = 0;
  logged_failure_ = false;
  auto attach = session_->session.attachRequest();
  attach.setCallback(kj::heap<callback>(hooks_.on_cancel));
  auto ended = kj::newPromiseAndFulfiller<void>();
  session_end_ = std::move(ended.fulfiller);
  // The first report states the tokens; nothing is acquired before it.
  auto opened = SendReport().then([this] {
    LogInfo("link", "session opened, control=" + options_.control_address);
    if (hooks_.on_connected) hooks_.on_connected(true);
  });
  auto attached = timer_.timeoutAfter(
      options_.call_deadline_ms * kj::MILLISECONDS, attach.send());
  return opened
      .then([attached = std::move(attached)]() mutable {
        return attached.ignoreResult();
      })
      .then([this] { return ReportLoop().exclusiveJoin(SnapshotLoop()); })
      .exclusiveJoin(std::move(ended.promise))
      .exclusiveJoin(session_->connection->Disconnected())
      .then([] { KJ_FAIL_REQUIRE("the session ended"); });
}

void entry_session_client::EndSession(const kj::Exception& reason) {
  if (!logged_failure_) {
    LogWarning("link", "no session, control=" + options_.control_address +
                           " reason=" + reason.getDescription().cStr());
    logged_failure_ = true;
  }
  bool was_open = session_.get() != nullptr;
  session_ = nullptr;
  session_end_ = nullptr;
  report_now_ = nullptr;
  if (was_open && hooks_.on_connected) hooks_.on_connected(false);
  DeliverWhileCutOff();
}

void entry_session_client::BreakSession(const std::string& reason) {
  if (session_end_.get() == nullptr) return;
  session_end_->reject(KJ_EXCEPTION(DISCONNECTED, reason));
}

kj::Promise<void> entry_session_client::SendReport() {
  entry_report report =
      hooks_.make_report ? hooks_.make_report() : entry_report();
  report.held_tokens = tokens_.All();
  auto request = session_->session.reportRequest();
  request.setSettingsRevision(report.settings_revision);
  request.setTableVersion(report.table_version);
  WriteList(report.usage, request.initUsage(report.usage.size()));
  WriteList(report.in_flight, request.initInFlight(report.in_flight.size()));
  WriteList(report.held_tokens,
            request.initHeldTokens(report.held_tokens.size()));
  WriteList(report.counters, request.initCounters(report.counters.size()));
  return timer_
      .timeoutAfter(options_.call_deadline_ms * kj::MILLISECONDS,
                    request.send())
      .then([this, sent_at = clock_.Now()](auto&&) {
        if (hooks_.on_contact) hooks_.on_contact(sent_at);
      });
}

kj::Promise<void> entry_session_client::ReportLoop() {
  auto woken = kj::newPromiseAndFulfiller<void>();
  report_now_ = std::move(woken.fulfiller);
  if (std::exchange(report_wanted_, false)) report_now_->fulfill();
  return timer_.afterDelay(options_.report_interval_ms * kj::MILLISECONDS)
      .exclusiveJoin(std::move(woken.promise))
      .then([this] { return SendReport(); })
      .then([this] { return ReportLoop(); });
}

kj::Promise<void> entry_session_client::SnapshotLoop() {
  auto request = session_->session.nextSnapshotRequest();
  request.setSettingsRevision(current_.settings ? current_.settings->revision
                                                : 0);
  request.setTableVersion(asked_table_);
  // The control answers within 5 s.
  return timer_
      .timeoutAfter((5000 + options_.call_deadline_ms) * kj::MILLISECONDS,
                    request.send())
      .then([this](capnp::Response<EntrySession::NextSnapshotResults> reply) {
        ApplySnapshot(reply);
        return SnapshotLoop();
      });
}

}  // namespace radishwing::rpc
