#include "src/node/job_submission.h"

#include <algorithm>
#include <boost/json.hpp>
#include <string>
#include <utility>

#include "src/node/refusal_guard.h"

namespace radishwing::node {
namespace {

// Value of the Retry-After header if no longer wait is known to help.
constexpr int kRetryAfterSeconds = 1;
// Refusals of the same job by other nodes that a submission may meet.
constexpr int kMaxGuardAttempts = 3;
// Reason of the answer if the store did not take a write.
constexpr std::string_view kStoreUnreachable = "store_unreachable";
// Reason of the refusal of a job that another node may have refused after it
// received this submission.
constexpr std::string_view kOverruled = "refused_elsewhere";

http::server_response MakeRetryResponse(unsigned status,
                                        std::string_view reason,
                                        int retry_after_s) {
  auto response = http::MakeErrorResponse(status, reason, "try again later");
  response.headers.push_back({"Retry-After", std::to_string(retry_after_s)});
  return response;
}

}  // namespace

http::server_response MakeRetryLaterResponse(std::string_view reason) {
  return MakeRetryResponse(503, reason, kRetryAfterSeconds);
}

struct job_submission::impl : std::enable_shared_from_this<impl> {
  /// A submission that has not been answered.
  struct submission {
    fleet::job_record job;
    std::uint64_t seen_revision = 0;  ///< See refusal_knowledge.
    sched::admission_decision decision;
    std::string_view reason;  ///< Reason of the refusal; empty if accepted.
    /// Another refusal of the job was met, so that its work is expected back
    /// already.
    bool was_refused = false;
    /// Unix time that a caller keeps who came back too early; 0: none.
    millis kept_retry_at_unix_ms = 0;
    int guard_attempts_left = kMaxGuardAttempts;
    responder respond;
  };
  using shared_submission = std::shared_ptr<submission>;

  impl(node_context& context, admission_control& admission,
       job_intake::stored_hook on_stored)
      : context(context),
        admission(admission),
        on_stored(on_stored),
        intake(context, std::move(on_stored)),
        guard(context, [&admission] { return admission.NodeCount(); }) {}

  void Store(const shared_submission& entry, std::uint64_t refusal_revision);
  void OnStoreOutcome(const shared_submission& entry,
                      submission_outcome outcome);
  /// Refuses the job if that can be made sure of. `known_revision` is the
  /// revision of the key of an earlier refusal; 0: none is known.
  void Refuse(const shared_submission& entry, std::uint64_t known_revision);
  void OnGuardOutcome(const shared_submission& entry,
                      const guard_outcome& outcome);
  /// Decides again about a job that was refused before.
  void DecideAgain(const shared_submission& entry,
                   const guard_outcome& earlier);
  void SendRefusal(const submission& entry);
  void CountOutcome(const submission& entry, std::string_view outcome) {
    context.metrics.CountSubmissionOutcome(entry.job.queue, entry.job.team,
                                           outcome);
  }
  millis RetryTime(const submission& entry) const {
    const millis latest =
        context.unix_now.Now() + entry.decision.retry_after_s * 1000;
    return entry.kept_retry_at_unix_ms > 0
               ? std::min(entry.kept_retry_at_unix_ms, latest)
               : latest;
  }

  node_context& context;
  admission_control& admission;
  job_intake::stored_hook on_stored;
  job_intake intake;
  refusal_guard guard;
};

void job_submission::impl::Store(const shared_submission& entry,
                                 std::uint64_t refusal_revision) {
  admission.RecordAccepted(entry->job);
  intake.Submit(entry->job, {refusal_revision, entry->seen_revision},
                [weak = weak_from_this(), entry](submission_outcome outcome) {
                  const auto self = weak.lock();
                  if (self) self->OnStoreOutcome(entry, outcome);
                });
}

void job_submission::impl::OnStoreOutcome(const shared_submission& entry,
                                          submission_outcome outcome) {
  switch (outcome) {
    case submission_outcome::kAccepted:
      return entry->respond(http::MakeJsonResponse(200, boost::json::object{}));
    case submission_outcome::kRefused:
      CountOutcome(*entry, "refused");
      return entry->respond(MakeRetryLaterResponse(kStoreUnreachable));
    case submission_outcome::kUnknown:
      CountOutcome(*entry, "unknown");
      return entry->respond(http::MakeErrorResponse(504, "outcome_unknown",
                                                    "the job may be stored"));
    case submission_outcome::kOverruled:
      entry->reason = kOverruled;
      entry->was_refused = true;
      entry->decision.retry_after_s = kRetryAfterSeconds;
      return Refuse(entry, 0);
  }
}

void job_submission::impl::Refuse(const shared_submission& entry,
                                  std::uint64_t known_revision) {
  guard.Guard(entry->job.id, known_revision, RetryTime(*entry),
              [weak = weak_from_this(), entry](const guard_outcome& outcome) {
                if (const auto self = weak.lock())
                  self->OnGuardOutcome(entry, outcome);
              });
}

void job_submission::impl::OnGuardOutcome(const shared_submission& entry,
                                          const guard_outcome& outcome) {
  using kind = guard_outcome::kind;
  switch (outcome.result) {
    case kind::kGuarded:
      if (!entry->was_refused) {
        admission.RecordRefused(entry->job, entry->decision);
      }
      return SendRefusal(*entry);
    case kind::kStored:
      on_stored(entry->job.id, outcome.record, outcome.revision);
      return entry->respond(http::MakeJsonResponse(200, boost::json::object{}));
    case kind::kOtherRefusal:
      entry->was_refused = true;
      if (--entry->guard_attempts_left <= 0) break;
      return DecideAgain(entry, outcome);
    case kind::kUnavailable:
      // The store may refuse the guard because of the load, too.
      CountOutcome(*entry, "refused");
      return entry->respond(MakeRetryResponse(
          503, kStoreUnreachable,
          std::max(kRetryAfterSeconds, entry->decision.retry_after_s)));
    case kind::kUnknown:
      break;
  }
  OnStoreOutcome(entry, submission_outcome::kUnknown);
}

void job_submission::impl::DecideAgain(const shared_submission& entry,
                                       const guard_outcome& earlier) {
  const millis early = earlier.retry_at_unix_ms - context.unix_now.Now();
  if (early > kEarlyReturnMs) {
    // The caller came back too early and keeps its place.
    entry->decision.retry_after_s = static_cast<int>(
        std::min<millis>((early + 999) / 1000, sched::kMaxRetryAfterSeconds));
    entry->kept_retry_at_unix_ms = earlier.retry_at_unix_ms;
    return Refuse(entry, earlier.revision);
  }
  if (earlier.revision > entry->seen_revision || entry->reason == kOverruled) {
    return Refuse(entry, earlier.revision);
  }
  entry->decision = admission.Decide(entry->job, true);
  if (entry->decision.accepted) return Store(entry, earlier.revision);
  entry->reason = sched::RefusalReasonName(entry->decision.reason);
  Refuse(entry, earlier.revision);
}

void job_submission::impl::SendRefusal(const submission& entry) {
  const std::string reason(entry.reason);
  const sched::admission_decision& decision = entry.decision;
  CountOutcome(entry, "refused");
  context.metrics.CountRejection(entry.job.queue, entry.job.team, reason);
  context.log.Info(
      "admission",
      "job refused, job=" + entry.job.id + " queue=" + entry.job.queue +
          " team=" + (entry.job.team.empty() ? "-" : entry.job.team) +
          " reason=" + reason +
          " retry_after_s=" + std::to_string(decision.retry_after_s) +
          " forecast_ms=" + std::to_string(decision.forecast_ms) +
          " summary_age_ms=" + std::to_string(decision.summary_age_ms));
  const bool is_team_limit =
      reason == sched::RefusalReasonName(sched::refusal_reason::kTeamLimit);
  entry.respond(MakeRetryResponse(is_team_limit ? 429 : 503, reason,
                                  decision.retry_after_s));
}

job_submission::job_submission(node_context& context,
                               admission_control& admission,
                               job_intake::stored_hook on_stored)
    : impl_(std::make_shared<impl>(context, admission, std::move(on_stored))) {}

job_submission::~job_submission() = default;

void job_submission::Submit(fleet::job_record job, responder respond) {
  auto entry = std::make_shared<impl::submission>();
  entry->seen_revision = impl_->admission.SeenRevision();
  entry->job = std::move(job);
  entry->respond = std::move(respond);
  entry->decision = impl_->admission.Decide(entry->job, false);
  if (entry->decision.accepted) return impl_->Store(entry, 0);
  entry->reason = sched::RefusalReasonName(entry->decision.reason);
  impl_->Refuse(entry, 0);
}

}  // namespace radishwing::node
