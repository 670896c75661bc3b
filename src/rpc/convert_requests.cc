#include "src/rpc/convert.h"

namespace radishwing::rpc {
namespace {

requests::claim_state ReadState(ClaimState from) {
  switch (from) {
    case ClaimState::FRESH:
      return requests::claim_state::kFresh;
    case ClaimState::RUNNING:
      return requests::claim_state::kRunning;
    case ClaimState::FINISHED:
      return requests::claim_state::kFinished;
    case ClaimState::CONFLICT:
      return requests::claim_state::kConflict;
    case ClaimState::UNAVAILABLE:
      break;
  }
  return requests::claim_state::kUnavailable;
}

ClaimState WriteState(requests::claim_state from) {
  switch (from) {
    case requests::claim_state::kFresh:
      return ClaimState::FRESH;
    case requests::claim_state::kRunning:
      return ClaimState::RUNNING;
    case requests::claim_state::kFinished:
      return ClaimState::FINISHED;
    case requests::claim_state::kConflict:
      return ClaimState::CONFLICT;
    case requests::claim_state::kUnavailable:
      break;
  }
  return ClaimState::UNAVAILABLE;
}

}  // namespace

requests::claim Read(Claim::Reader from) {
  return {ToString(from.getRequestId()), ToString(from.getTeam()),
          ToString(from.getDigest()), ToString(from.getOwner())};
}

void Write(const requests::claim& from, Claim::Builder to) {
  to.setRequestId(ToText(from.request_id));
  to.setTeam(ToText(from.team));
  to.setDigest(ToText(from.digest));
  to.setOwner(ToText(from.owner));
}

requests::claim_answer Read(ClaimAnswer::Reader from) {
  return {ReadState(from.getState()), Read(from.getOutcome()),
          from.getStatus()};
}

void Write(const requests::claim_answer& from, ClaimAnswer::Builder to) {
  to.setState(WriteState(from.state));
  to.setOutcome(Write(from.outcome));
  to.setStatus(from.status);
}

requests::outcome Read(Outcome from) {
  switch (from) {
    case Outcome::NONE:
      return requests::outcome::kNone;
    case Outcome::ANSWERED:
      return requests::outcome::kAnswered;
    case Outcome::NOT_RUN:
      return requests::outcome::kNotRun;
    case Outcome::UNKNOWN:
      break;
  }
  return requests::outcome::kUnknown;
}

Outcome Write(requests::outcome from) {
  switch (from) {
    case requests::outcome::kNone:
      return Outcome::NONE;
    case requests::outcome::kAnswered:
      return Outcome::ANSWERED;
    case requests::outcome::kNotRun:
      return Outcome::NOT_RUN;
    case requests::outcome::kUnknown:
      break;
  }
  return Outcome::UNKNOWN;
}

job_request Read(JobRequest::Reader from) {
  job_request to;
  to.verb = static_cast<job_verb>(from.getVerb());
  if (to.verb > job_verb::kResult) to.verb = job_verb::kState;
  to.service = ToString(from.getService());
  to.team = ToString(from.getTeam());
  to.job_id = ToString(from.getJobId());
  to.idempotent = from.getIdempotent();
  to.body.assign(from.getBody().asChars().begin(), from.getBody().size());
  to.cores = from.getCores();
  to.memory_mb = from.getMemoryMb();
  to.accelerators = from.getAccelerators();
  to.longest_run_seconds = from.getLongestRunSeconds();
  return to;
}

void Write(const job_request& from, JobRequest::Builder to) {
  to.setVerb(static_cast<JobVerb>(from.verb));
  to.setService(ToText(from.service));
  to.setTeam(ToText(from.team));
  to.setJobId(ToText(from.job_id));
  to.setIdempotent(from.idempotent);
  to.setBody(kj::arrayPtr(from.body.data(), from.body.size()).asBytes());
  to.setCores(from.cores);
  to.setMemoryMb(from.memory_mb);
  to.setAccelerators(from.accelerators);
  to.setLongestRunSeconds(from.longest_run_seconds);
}

job_answer Read(JobAnswer::Reader from) {
  job_answer to;
  to.status = from.getStatus();
  to.reason = ToString(from.getReason());
  to.body.assign(from.getBody().asChars().begin(), from.getBody().size());
  return to;
}

void Write(const job_answer& from, JobAnswer::Builder to) {
  to.setStatus(from.status);
  to.setReason(ToText(from.reason));
  to.setBody(kj::arrayPtr(from.body.data(), from.body.size()).asBytes());
}

}  // namespace radishwing::rpc
