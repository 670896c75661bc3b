#include "src/entry/exchange.h"

#include "src/entry/caller_connection.h"
#include "src/entry/entry_core.h"

namespace radishwing::entry {

using requests::outcome;

namespace {

request_verdict VerdictOf(const rejection& r) {
  if (r.reason == "cut_off") return request_verdict::kCutOff;
  if (r.status == 429) return request_verdict::kRefused;
  if (r.status < 500) return request_verdict::kRejected;
  return r.outcome == outcome::kNotRun ? request_verdict::kRefused
                                       : request_verdict::kUnknown;
}

}  // namespace

exchange::~exchange() = default;

std::weak_ptr<caller_connection> exchange::Caller() const {
  return caller_.weak_from_this();
}

void exchange::OnBodyPart(std::size_t size) {
  body_bytes_ += size;
  if (uploading_) return UploadPart(size);
  body_.resize(size);
  upload_done_ = caller_.Parser().is_done();
  BodyReady();
}

void exchange::OnBodyError() {
  if (uploading_) {
    state_.maybe_run = true;
    EndAttempt(routing::attempt_result::kNoVerdict, next_step::kFinish,
               connection_use::kClose);
  }
  Reject({400, "malformed_request", "The request body is not valid HTTP/1.1",
          state_.maybe_run ? outcome::kUnknown : outcome::kNotRun, true});
}

void exchange::OnSlowSender() {
  if (uploading_) {
    state_.maybe_run = true;
    EndAttempt(routing::attempt_result::kNoVerdict, next_step::kFinish,
               connection_use::kClose);
  }
  Reject({408, "slow_sender", "The request body took too long",
          state_.maybe_run ? outcome::kUnknown : outcome::kNotRun, true});
}

void exchange::BodyReady() {
  if (state_.phase == request_phase::kJob) return SubmitJob();
  if (upload_done_) caller_.WatchForClose();
  if (body_bytes_ > state_.service->settings.max_body_bytes) {
    return Reject({413, "body_too_large",
                   "The body exceeds the limit of the service",
                   outcome::kNotRun, !upload_done_});
  }
  core_.IndexId(*this);
  if (!state_.idempotent && state_.own_id) return SendClaim();
  Enqueue();
}

void exchange::Enqueue() {
  service_state& service = *state_.service;
  // The settings may have changed while the body or the claim was awaited.
  if (auto revoked = core_.Revoked(state_)) return Reject(std::move(*revoked));
  if (core_.IsFull(service)) {
    if (state_.team->NeedsToken() && state_.team->tokens.AtLimit()) {
      rejection r{429, "team_at_limit",
                  "The team is at its upper limit and the queue is full"};
      r.retry_after = 1;
      return Reject(std::move(r));
    }
    return Reject({503, "queue_full", "The queue of the service is full"});
  }
  state_.phase = request_phase::kQueued;
  state_.pool = service.pool;
  state_.queued_at = core_.Now();
  core_.Push(*this);
}

void exchange::RejectQueued(rejection r) {
  if (state_.phase != request_phase::kQueued) return;
  if (state_.maybe_run) {
    r.status = 504;
    r.outcome = outcome::kUnknown;
  }
  core_.CancelQueued(*this);
  Reject(std::move(r));
}

void exchange::ChangePool() {
  if (state_.phase != request_phase::kQueued ||
      state_.pool == state_.service->pool) {
    return;
  }
  core_.CancelQueued(*this);
  Enqueue();
}

bool exchange::MayKeep() const {
  return caller_.Parser().keep_alive() && caller_.Parser().is_done() &&
         !core_.Closing();
}

void exchange::Reject(rejection r) {
  bool keep = MayKeep() && !r.close;
  std::string text;
  AppendRejection(r, state_.id, keep,
                  caller_.Parser().get().method() == http::verb::head, text);
  Complete(r.outcome, r.status, VerdictOf(r));
  caller_.Reply(std::move(text), keep);
}

void exchange::Complete(outcome how, std::uint16_t status,
                        request_verdict verdict) {
  if (state_.claimed) {
    core_.FinishClaim(requests::ScopedId(state_.team->name, state_.id),
                      state_.claim_owner, how, status);
  }
  core_.CountVerdict(state_, verdict);
  core_.CountBytes(state_, body_bytes_, response_bytes_);
  core_.Deactivate(*this);
  core_.Buffers().Return(std::move(up_));
  core_.Buffers().Return(std::move(down_));
  if (body_.capacity() > kReplayMax / 4) body_ = {};
  state_.phase = request_phase::kNone;
}

void exchange::OnCallerGone() {
  bool may_run = state_.maybe_run;
  switch (state_.phase) {
    case request_phase::kQueued:
      core_.CancelQueued(*this);
      break;
    case request_phase::kConnecting:
    case request_phase::kWaiting:
    case request_phase::kStreaming:
      if (runner_done_) {
        return Complete(outcome::kAnswered, status_, request_verdict::kGood);
      }
      may_run = may_run || attempt_.written;
      EndAttempt(routing::attempt_result::kNoVerdict, next_step::kFinish,
                 connection_use::kLinger);
      break;
    default:
      break;
  }
  // Whoever closes the connection wants no answer: no fault of the service.
  Complete(may_run ? outcome::kUnknown : outcome::kNotRun, 499,
           request_verdict::kRejected);
}

void exchange::Cancel() {
  switch (state_.phase) {
    case request_phase::kQueued:
      return RejectQueued({503, "cancelled", "The request was cancelled"});
    case request_phase::kConnecting:
    case request_phase::kWaiting: {
      bool may_run = state_.maybe_run || attempt_.written;
      EndAttempt(routing::attempt_result::kNoVerdict, next_step::kFinish,
                 connection_use::kLinger);
      return Reject({static_cast<std::uint16_t>(may_run ? 502 : 503),
                     "cancelled", "The request was cancelled",
                     may_run ? outcome::kUnknown : outcome::kNotRun});
    }
    case request_phase::kStreaming:
      if (runner_done_) return;
      return Truncate(routing::attempt_result::kNoVerdict,
                      connection_use::kLinger);
    case request_phase::kClaim:
    case request_phase::kClaimWait:
      return Reject(
          {504, "cancelled", "The request was cancelled", outcome::kUnknown});
    default:
      return;
  }
}

void exchange::OnTick(millis now) {
  if (state_.phase == request_phase::kClaimWait &&
      now >= state_.claim_again_at && now < state_.deadline_at) {
    return SendClaim();
  }
  if (attempt_.runner) core_.ChargeRunning(*this, now - attempt_.started_at);
  if (now >= state_.deadline_at) return OnDeadline();
  if (state_.phase == request_phase::kConnecting &&
      now >= attempt_.connect_by) {
    return Broken(broken::kRefused);
  }
  if (state_.phase == request_phase::kWaiting && !attempt_.first_byte &&
      upload_done_ && now >= attempt_.first_byte_by) {
    return Broken(broken::kTimeout);
  }
}

void exchange::OnDeadline() {
  rejection late{504, "deadline_exceeded",
                 "The deadline passed; whether the request ran is unknown",
                 outcome::kUnknown};
  switch (state_.phase) {
    case request_phase::kBody:
      return OnSlowSender();
    case request_phase::kQueued:
      return RejectQueued({503, "deadline_in_queue",
                           "The deadline passed while the request waited"});
    case request_phase::kClaim:
      if (state_.first_attempt && !state_.waited) {
        return Reject({503, "claim_unavailable",
                       "The identifier could not be claimed in time"});
      }
      [[fallthrough]];
    case request_phase::kClaimWait:
    case request_phase::kJob:
      return Reject(late);
    case request_phase::kConnecting:
    case request_phase::kWaiting: {
      bool silent = core_.Now() - attempt_.started_at >= SilentAfter();
      bool may_run = state_.maybe_run || attempt_.written;
      core_.CloseIdle(*attempt_.runner);
      EndAttempt(silent ? routing::attempt_result::kFailed
                        : routing::attempt_result::kNoVerdict,
                 next_step::kFinish, connection_use::kLinger);
      if (may_run) return Reject(late);
      return Reject({503, "deadline_in_queue",
                     "The deadline passed before the request was sent"});
    }
    case request_phase::kStreaming:
      if (runner_done_) return;
      return Truncate(routing::attempt_result::kNoVerdict,
                      connection_use::kLinger);
    case request_phase::kNone:
      return;
  }
}

}  // namespace radishwing::entry
