// Calls on radishwing's own paths: jobs and cancellation.
#include "src/base/sha256.h"
#include "src/entry/caller_connection.h"
#include "src/entry/entry_core.h"
#include "src/entry/exchange.h"

namespace radishwing::entry {

using requests::outcome;

namespace {

constexpr std::string_view kJobs = "jobs/";
constexpr std::string_view kRequests = "requests/";
constexpr std::string_view kResult = "/result";
// Longer than the 2 s of a link call with a store write behind it.
constexpr millis kJobDeadlineMs = 10000;

}  // namespace

void exchange::BeginOwn(const request_head& head) {
  std::string_view path = caller_.Parser().get().target();
  path.remove_prefix(kOwnPathPrefix.size());
  path = path.substr(0, path.find('?'));
  auto owner = head.key.empty() ? std::nullopt : core_.FindKey(head.key);
  if (!owner) {
    return Reject({401, head.key.empty() ? "missing_key" : "invalid_key",
                   "The call needs a valid API key"});
  }
  state_.team = &core_.Team(owner->team);
  state_.key_number = owner->number;
  if (path.starts_with(kJobs)) {
    return BeginJob(head, path.substr(kJobs.size()));
  }
  if (path.starts_with(kRequests)) {
    return BeginCancel(path.substr(kRequests.size()));
  }
  Reject({404, "unknown_path", "No such path"});
}

void exchange::BeginCancel(std::string_view id) {
  if (caller_.Parser().get().method() != http::verb::delete_) {
    return Reject({405, "method_not_allowed", "Only DELETE is possible"});
  }
  if (!IsRequestId(id)) {
    return Reject({400, "malformed_identifier",
                   "An identifier is 1 to 64 of [A-Za-z0-9._-]"});
  }
  if (!caller_.Parser().is_done()) {
    return Reject({400, "unexpected_body", "DELETE takes no body",
                   outcome::kNotRun, true});
  }
  state_.phase = request_phase::kJob;
  if (core_.CancelLocal(id, state_.team->index)) {
    return OnCancelled(state_.sequence, true);
  }
  core_.SendCancel(id, state_.team->name, caller_.shared_from_this(),
                   state_.sequence);
}

void exchange::OnCancelled(std::uint64_t sequence, const result<bool>& answer) {
  if (state_.sequence != sequence || state_.phase != request_phase::kJob) {
    return;
  }
  if (!Ok(answer)) {
    return Reject({503, "control_unavailable",
                   "The other entries cannot be asked now", outcome::kUnknown});
  }
  if (!Value(answer)) {
    return Reject({404, "unknown_request",
                   "No request with this identifier is in progress"});
  }
  Reject({200, "cancelled", "The request was cancelled", outcome::kNone});
}

void exchange::BeginJob(const request_head& head, std::string_view rest) {
  job_ = {};
  job_.team = state_.team->name;
  state_.phase = request_phase::kJob;
  state_.deadline_at =
      state_.received_at + head.deadline_ms.value_or(kJobDeadlineMs);
  if (auto refused = ReadJob(head, rest)) return Reject(std::move(*refused));
  if (!IsRequestId(job_.job_id)) {
    return Reject({400, "malformed_identifier",
                   "An identifier is 1 to 64 of [A-Za-z0-9._-]"});
  }
  StartBody(kJobBodyMax);
}

std::optional<rejection> exchange::ReadJob(const request_head& head,
                                           std::string_view rest) {
  switch (caller_.Parser().get().method()) {
    case http::verb::post:
      return ReadSubmission(head, rest);
    case http::verb::get:
      job_.verb = rpc::job_verb::kState;
      if (rest.ends_with(kResult)) {
        job_.verb = rpc::job_verb::kResult;
        rest.remove_suffix(kResult.size());
      }
      break;
    case http::verb::delete_:
      job_.verb = rpc::job_verb::kCancel;
      break;
    default:
      return rejection{405, "method_not_allowed",
                       "Jobs take POST, GET and DELETE"};
  }
  job_.job_id = rest;
  return std::nullopt;
}

std::optional<rejection> exchange::ReadSubmission(const request_head& head,
                                                  std::string_view service) {
  state_.service = core_.FindService(service);
  if (!state_.service) {
    return rejection{404, "unknown_service", "No service has this name"};
  }
  if (auto refused = AdmitTeam(head)) return refused;
  if (core_.Stopping()) {
    return rejection{503, "stopping", "This entry is stopping"};
  }
  job_.verb = rpc::job_verb::kSubmit;
  job_.service = service;
  job_.job_id = state_.own_id ? state_.id : RandomHex(16);
  job_.idempotent = head.idempotent;
  return ReadJobNeeds();
}

std::optional<rejection> exchange::ReadJobNeeds() {
  struct need {
    std::string_view name;
    std::int64_t high;
    std::uint32_t* to;
  };
  job_.cores = 1;
  job_.memory_mb = 256;
  job_.longest_run_seconds =
      static_cast<std::uint32_t>(state_.service->settings.longest_run_seconds);
  const need needs[] = {
      {"Radishwing-Cores", 1024, &job_.cores},
      {"Radishwing-Memory-Mb", 16 << 20, &job_.memory_mb},
      {"Radishwing-Accelerators", 64, &job_.accelerators},
      {"Radishwing-Longest-Run-Seconds", 30 * 86400, &job_.longest_run_seconds},
  };
  const auto& fields = caller_.Parser().get();
  for (const need& n : needs) {
    auto found = fields.find(n.name);
    if (found == fields.end()) continue;
    auto value = ReadNumber(found->value(), 0, n.high);
    if (!value) {
      return rejection{
          400, "malformed_header",
          std::string(n.name) + " must be 0 to " + std::to_string(n.high)};
    }
    *n.to = static_cast<std::uint32_t>(*value);
  }
  return std::nullopt;
}

void exchange::SubmitJob() {
  if (!upload_done_) {
    return Reject({413, "body_too_large", "A job's body may have 256 KB",
                   outcome::kNotRun, true});
  }
  caller_.WatchForClose();
  job_.body = std::move(body_);
  body_.clear();
  core_.SendJob(job_, caller_.shared_from_this(), state_.sequence);
}

void exchange::OnJob(std::uint64_t sequence,
                     const result<rpc::job_answer>& answer) {
  if (state_.sequence != sequence || state_.phase != request_phase::kJob) {
    return;
  }
  if (!Ok(answer)) {
    bool sent = Error(answer).kind == failure_kind::kTimeout;
    return Reject({static_cast<std::uint16_t>(sent ? 504 : 503),
                   "control_unavailable", "The job service cannot be asked now",
                   sent ? outcome::kUnknown : outcome::kNotRun});
  }
  const rpc::job_answer& job = Value(answer);
  if (!job.reason.empty()) {
    bool unknown = job.status == 502 || job.status == 504;
    return Reject({job.status, job.reason, job.body,
                   unknown ? outcome::kUnknown : outcome::kNotRun});
  }
  bool keep = MayKeep();
  std::string text;
  AppendJobResponse(job, state_.id, keep, text);
  Complete(outcome::kAnswered, job.status, request_verdict::kGood);
  caller_.Reply(std::move(text), keep);
}

}  // namespace radishwing::entry
