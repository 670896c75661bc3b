#include "src/entry/caller_connection.h"
#include "src/entry/entry_core.h"
#include "src/entry/exchange.h"
#include "src/entry/head_writer.h"

namespace radishwing::entry {

using requests::outcome;
using routing::attempt_result;

namespace {

// Attempts that may have been run, per request.
constexpr std::uint32_t kAttemptsMax = 4;
// Attempts altogether, with refused connections.
constexpr std::uint32_t kConnectsMax = 16;
// A first byte that takes this many times the slowest recent one is taken for
// a silent connection, once enough samples are known.
constexpr double kSilentFactor = 4;
constexpr std::uint32_t kSilentSamples = 20;

/// The target without its first segment.
std::string_view RunnerTarget(std::string_view target, std::string& scratch) {
  std::size_t end = target.find_first_of("/?", 1);
  if (end == std::string_view::npos) return "/";
  if (target[end] == '/') return target.substr(end);
  scratch = "/";
  scratch += target.substr(end);
  return scratch;
}

}  // namespace

millis exchange::SilentAfter() const {
  const service_state& service = *state_.service;
  millis longest = service.settings.longest_run_seconds * 1000;
  if (service.first_bytes < kSilentSamples) return longest;
  auto slow =
      static_cast<millis>(service.slowest_first_byte_ms * kSilentFactor);
  return std::min(longest, std::max(core_.Options().silent_least_ms, slow));
}

void exchange::StartAttempt(routing::runner_state& runner) {
  millis now = core_.Now();
  ++state_.attempts;
  core_.CountAttempt();
  attempt_ = {};
  attempt_.runner = &runner;
  attempt_.started_at = now;
  attempt_.connect_by = now + core_.Options().connect_timeout_ms;
  attempt_.probe = core_.Started(*this, runner);
  state_.phase = request_phase::kConnecting;
  auto pool = core_.Connections(runner);
  // A probe tests the runner, not a connection that may have gone silent.
  if (!attempt_.probe)
    attempt_.connection = pool->Take(now, !state_.idempotent);
  if (attempt_.connection) {
    attempt_.reused = true;
    attempt_.connection->SetUser(this);
    return Send();
  }
  auto endpoint = core_.EndpointOf(runner);
  if (pool->Open() >= runner.info.connections) pool->CloseIdle();
  if (!endpoint || pool->Open() >= runner.info.connections) {
    return EndAttempt(attempt_result::kFull, next_step::kRequeue,
                      connection_use::kClose);
  }
  attempt_.connection =
      std::make_shared<runner_connection>(core_.Context(), std::move(pool));
  attempt_.connection->Connect(*endpoint, this);
}

void exchange::OnConnected(const boost::system::error_code& error) {
  if (error) return Broken(broken::kRefused);
  // The process may have been paused since the start of the attempt.
  if (state_.key_number != 0 && core_.CutOff(*state_.team)) {
    EndAttempt(attempt_result::kNoVerdict, next_step::kRequeue,
               connection_use::kClose);
    if (auto revoked = core_.Revoked(state_)) RejectQueued(std::move(*revoked));
    return;
  }
  Send();
}

void exchange::Send() {
  state_.phase = request_phase::kWaiting;
  runner_connection& connection = *attempt_.connection;
  request_parser& parser = caller_.Parser();
  body_framing framing;
  if (upload_done_) {
    if (parser.chunked() || parser.content_length()) {
      framing.length = body_bytes_;
    }
  } else if (auto declared = parser.content_length()) {
    framing.length = *declared;
  } else {
    framing.chunked = true;
  }
  std::string& head = connection.Head();
  head.clear();
  std::string scratch;
  AppendRequestHead(parser.get(), RunnerTarget(parser.get().target(), scratch),
                    {state_.id, state_.team->name, core_.NextRun()}, framing,
                    head);
  if (framing.chunked) AppendChunkSize(body_.size(), head);
  connection.Parser().emplace();
  connection.Parser()->header_limit(kResponseHeaderMax);
  connection.Parser()->body_limit(boost::none);
  connection.Parser()->skip(parser.get().method() == http::verb::head);
  connection.Read();
  auto wrote =
      connection.Write({boost::asio::buffer(head), boost::asio::buffer(body_)},
                       attempt_.written);
  if (wrote == write_result::kFailed) return Broken(broken::kClosed);
  if (wrote == write_result::kDone) AfterSend();
}

void exchange::OnRunnerWritten(const boost::system::error_code& error) {
  attempt_.written = true;
  // A failed write: the runner may have answered before it closed, so the
  // pending read decides.
  if (!error) AfterSend();
}

void exchange::AfterSend() {
  if (state_.phase != request_phase::kWaiting &&
      state_.phase != request_phase::kStreaming) {
    return;
  }
  if (upload_done_) {
    attempt_.first_byte_by =
        core_.Now() +
        (state_.idempotent && state_.attempts == 1
             ? SilentAfter()
             : state_.service->settings.longest_run_seconds * 1000);
    return;
  }
  uploading_ = true;
  if (!up_) up_ = core_.Buffers().Take();
  caller_.ReadBody(up_.get(), kStreamBuffer, false);
}

void exchange::UploadPart(std::size_t size) {
  if (!attempt_.connection || runner_done_) return;
  if (body_bytes_ > state_.service->settings.max_body_bytes) {
    state_.maybe_run = true;
    EndAttempt(attempt_result::kNoVerdict, next_step::kFinish,
               connection_use::kClose);
    return Reject({413, "body_too_large",
                   "The body exceeds the limit of the service",
                   outcome::kUnknown, true});
  }
  request_parser& parser = caller_.Parser();
  upload_done_ = parser.is_done();
  up_head_.clear();
  if (!parser.content_length()) {
    // The line end of the previous chunk, then the size of this one.
    up_head_ = "\r\n";
    if (size > 0) AppendChunkSize(size, up_head_);
    if (upload_done_ && size == 0) up_head_ += "0\r\n\r\n";
  }
  if (upload_done_ && size > 0 && !parser.content_length()) {
    // The last chunk is written with its data in one piece.
    up_head_.append(up_.get(), size).append("\r\n0\r\n\r\n");
    size = 0;
  }
  if (upload_done_) caller_.WatchForClose();
  auto wrote = attempt_.connection->Write(
      {boost::asio::buffer(up_head_), boost::asio::buffer(up_.get(), size)},
      attempt_.written);
  if (wrote == write_result::kDone) AfterSend();
  // A failed write leaves the verdict to the pending read, as above.
}

void exchange::EndAttempt(attempt_result how, next_step next,
                          connection_use use) {
  runner_attempt attempt = std::move(attempt_);
  attempt_ = {};
  if (attempt.connection) attempt.connection->SetUser(nullptr);
  if (use == connection_use::kLinger &&
      (!attempt.connection || !attempt.written || !upload_done_ ||
       attempt.connection->Writing())) {
    // A request that the runner has not received whole is cut short instead.
    use = connection_use::kClose;
  }
  // A rejected attempt did not run and does not count as one.
  if (how == attempt_result::kFull) --state_.attempts;
  if (next == next_step::kRequeue) state_.phase = request_phase::kQueued;
  core_.EndAttempt(*this, attempt, how, next, use);
}

bool exchange::MayRetry() const {
  if (core_.Now() >= state_.deadline_at || uploading_) return false;
  if (core_.Revoked(state_)) return false;
  if (!attempt_.written) return state_.attempts < kConnectsMax;
  if (!state_.idempotent || state_.attempts >= kAttemptsMax) return false;
  bool allowed = state_.service->budget.TryRetry();
  if (!allowed) core_.CountNoRetry(state_);
  return allowed;
}

void exchange::Broken(broken how) {
  bool retry = MayRetry();
  state_.maybe_run = state_.maybe_run || attempt_.written;
  attempt_result result = attempt_result::kFailed;
  if (how == broken::kRefused) result = attempt_result::kRefused;
  // A connection closed while idle says nothing about the runner now.
  if (how == broken::kClosed && attempt_.reused && !attempt_.first_byte) {
    result = attempt_result::kNoVerdict;
  }
  // Its neighbours of the same age may be silent as well.
  if (how == broken::kTimeout) core_.CloseIdle(*attempt_.runner);
  state_.tried.push_back(attempt_.runner);
  if (retry) core_.CountRetry(state_);
  EndAttempt(result, retry ? next_step::kRequeue : next_step::kFinish,
             how == broken::kTimeout ? connection_use::kLinger
                                     : connection_use::kClose);
  if (!retry) RejectBroken(how);
}

void exchange::RejectBroken(broken how) {
  if (!state_.maybe_run) {
    return Reject({503, "runner_unreachable",
                   "No runner could be reached; nothing was sent",
                   outcome::kNotRun, !upload_done_});
  }
  if (how == broken::kTimeout) {
    return Reject({504, "runner_timeout", "The runner did not answer in time",
                   outcome::kUnknown, !upload_done_});
  }
  Reject({502, "runner_failed",
          "The runner closed the connection before its answer",
          outcome::kUnknown, !upload_done_});
}

}  // namespace radishwing::entry
