// Claims of identified non-idempotent requests.
#include "src/base/sha256.h"
#include "src/entry/caller_connection.h"
#include "src/entry/entry_core.h"
#include "src/entry/exchange.h"

namespace radishwing::entry {

using requests::claim_state;
using requests::outcome;

namespace {

// A repeat asks again for the state of its first request this often.
constexpr millis kClaimPollMs = 200;

std::string_view OutcomeName(outcome o) {
  switch (o) {
    case outcome::kAnswered:
      return "answered";
    case outcome::kNotRun:
      return "not-run";
    default:
      return "unknown";
  }
}

rejection RepeatRejection(const requests::claim_answer& answer) {
  rejection r;
  r.extra = ",\"first_outcome\":\"" + std::string(OutcomeName(answer.outcome)) +
            "\",\"first_status\":" + std::to_string(answer.status);
  if (answer.outcome == outcome::kAnswered) {
    r.status = 409;
    r.reason = "already_answered";
    r.message = "The request with this identifier has already been answered";
    r.outcome = outcome::kNone;
  } else if (answer.outcome == outcome::kNotRun) {
    r.status = 503;
    r.reason = "first_not_run";
    r.message = "The request with this identifier was not run";
  } else {
    r.status = 504;
    r.reason = "first_unknown";
    r.message = "Whether the request with this identifier ran is unknown";
    r.outcome = outcome::kUnknown;
  }
  return r;
}

}  // namespace

void exchange::SendClaim() {
  state_.phase = request_phase::kClaim;
  const auto& request = caller_.Parser().get();
  std::string length = "chunked";
  if (upload_done_) {
    length = std::to_string(body_bytes_);
  } else if (auto declared = caller_.Parser().content_length()) {
    length = std::to_string(*declared);
  }
  requests::claim claim;
  claim.request_id = requests::ScopedId(state_.team->name, state_.id);
  claim.team = state_.team->name;
  claim.digest = Sha256Hex(std::string(request.method_string()) + "\n" +
                           std::string(request.target()) + "\n" + length);
  // An identifier that ended as not run is reopened only for another owner.
  state_.claim_owner = core_.NextClaimOwner();
  claim.owner = state_.claim_owner;
  core_.SendClaim(std::move(claim), caller_.shared_from_this(),
                  state_.sequence);
}

bool exchange::OnClaim(std::uint64_t sequence,
                       const result<requests::claim_answer>& answer) {
  if (state_.sequence != sequence || state_.phase != request_phase::kClaim) {
    return false;
  }
  claim_state state =
      Ok(answer) ? Value(answer).state : claim_state::kUnavailable;
  switch (state) {
    case claim_state::kFresh:
      state_.claimed = true;
      // A fresh claim after a wait means that the first one was not run, or
      // that it was forgotten.
      if (state_.waited && Value(answer).outcome != outcome::kNotRun) {
        RejectUnclaimed();
      } else {
        Enqueue();
      }
      break;
    case claim_state::kUnavailable:
      RejectUnclaimed();
      break;
    case claim_state::kConflict:
      Reject({409, "identifier_conflict",
              "The identifier was used for another request"});
      break;
    case claim_state::kFinished:
      Reject(RepeatRejection(Value(answer)));
      break;
    case claim_state::kRunning:
      state_.waited = true;
      state_.phase = request_phase::kClaimWait;
      state_.claim_again_at = core_.Now() + kClaimPollMs;
      break;
  }
  return true;
}

void exchange::RejectUnclaimed() {
  if (state_.first_attempt && !state_.waited) {
    return Reject({503, "claim_unavailable",
                   "The identifier cannot be claimed now; nothing was run"});
  }
  Reject({504, "claim_unavailable",
          "Whether this identifier has been run cannot be learned now",
          outcome::kUnknown});
}

}  // namespace radishwing::entry
