#include "src/base/sha256.h"
#include "src/entry/caller_connection.h"
#include "src/entry/entry_core.h"
#include "src/entry/exchange.h"

namespace radishwing::entry {

using requests::outcome;

namespace {

constexpr std::string_view kOwnPrefix = "/radishwing/";
constexpr std::string_view kJobs = "jobs/";
constexpr std::string_view kRequests = "requests/";
constexpr std::string_view kResult = "/result";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

/// The first segment of a target, without its slash.
std::string_view FirstSegment(std::string_view target) {
  if (target.empty() || target[0] != '/') return {};
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

bool Allows(const settings::team_settings& team, fairness::work_class cls) {
  switch (cls) {
    case fairness::work_class::kUrgent:
      return team.allow_urgent;
    case fairness::work_class::kInteractive:
      return team.allow_interactive;
    case fairness::work_class::kLong:
      return team.allow_long;
  }
  return false;
}

}  // namespace

void exchange::Begin() {
  state_.sequence = core_.NextSequence();
  state_.phase = request_phase::kBody;
  state_.service = nullptr;
  state_.team = nullptr;
  state_.claimed = state_.waited = state_.maybe_run = false;
  state_.attempts = 0;
  state_.tried.clear();
  state_.received_at = core_.Now();
  state_.deadline_at = state_.received_at + 30000;
  body_bytes_ = response_bytes_ = 0;
  upload_done_ = uploading_ = false;
  head_sent_ = caller_writing_ = runner_done_ = false;
  body_.clear();
  out_.clear();
  core_.Activate(*this);

  const auto& request = caller_.Parser().get();
  auto read = ReadRequestHead(request);
  state_.own_id = Ok(read) && !Value(read).request_id.empty();
  state_.id = state_.own_id ? std::string(Value(read).request_id)
                            : core_.NextRequestId();
  if (!Ok(read)) {
    return Reject({400, "malformed_header", Error(read).message});
  }
  if (!core_.HasSnapshot()) {
    return Reject({503, "not_ready", "This entry has no settings yet"});
  }
  const request_head& head = Value(read);
  state_.idempotent = head.idempotent;
  state_.first_attempt = head.first_attempt;
  state_.cls = head.cls;
  state_.user = head.user;
  state_.workspace = head.workspace;
  std::string_view target = request.target();
  if (target.starts_with(kOwnPrefix)) return BeginOwn(head);
  if (auto refused = Admit(head)) return Reject(std::move(*refused));
  StartBody(kReplayMax);
}

std::optional<rejection> exchange::Admit(const request_head& head) {
  const auto& parser = caller_.Parser();
  state_.service = core_.FindService(FirstSegment(parser.get().target()));
  if (!state_.service) {
    return rejection{404, "unknown_service", "No service has this name"};
  }
  if (auto refused = AdmitTeam(head)) return refused;
  if (core_.Stopping()) {
    return rejection{503, "stopping", "This entry is stopping"};
  }
  const auto& service = state_.service->settings;
  state_.deadline_at =
      state_.received_at + head.deadline_ms.value_or(service.deadline_ms);
  auto length = parser.content_length();
  if (length && *length > service.max_body_bytes) {
    return rejection{413, "body_too_large",
                     "The body exceeds the limit of the service"};
  }
  return std::nullopt;
}

std::optional<rejection> exchange::AdmitTeam(const request_head& head) {
  const service_state& service = *state_.service;
  auto owner = head.key.empty() ? std::nullopt : core_.FindKey(head.key);
  if (!owner && !service.settings.open) {
    return head.key.empty()
               ? rejection{401, "missing_key",
                           "The service needs an API key: Authorization: "
                           "Bearer <key>"}
               : rejection{401, "invalid_key",
                           "The API key is invalid or revoked"};
  }
  state_.team = &core_.Team(owner ? owner->team : 0);
  state_.key_number = owner ? owner->number : 0;
  if (owner && !core_.Admits(service, *state_.team)) {
    return rejection{403, "team_not_admitted",
                     "The service does not admit this team"};
  }
  bool allowed = owner ? Allows(state_.team->settings, head.cls)
                       : head.cls != fairness::work_class::kUrgent;
  if (!allowed) {
    return rejection{403, "class_not_allowed",
                     "The team may not send work of this class"};
  }
  if (owner && core_.CutOff(*state_.team)) {
    return rejection{503, "cut_off",
                     "The data centre is cut off and cannot confirm the key"};
  }
  return std::nullopt;
}

void exchange::StartBody(std::size_t limit) {
  request_parser& parser = caller_.Parser();
  if (parser.is_done()) {
    upload_done_ = true;
    return BodyReady();
  }
  if (boost::beast::iequals(parser.get()[http::field::expect],
                            "100-continue")) {
    auto wrote = caller_.Write(
        {boost::asio::buffer(kContinue.data(), kContinue.size())});
    if (wrote != write_result::kDone) {
      // A connection that cannot take 25 bytes will not take a response.
      OnCallerGone();
      return caller_.Abort();
    }
  }
  auto declared = parser.content_length();
  std::size_t size = declared && *declared < limit
                         ? static_cast<std::size_t>(*declared)
                         : limit;
  body_.resize(size);
  caller_.ReadBody(body_.data(), size, true);
}

void exchange::BeginOwn(const request_head& head) {
  std::string_view path = caller_.Parser().get().target();
  path.remove_prefix(kOwnPrefix.size());
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
    return BeginCancel(head, path.substr(kRequests.size()));
  }
  Reject({404, "unknown_path", "No such path"});
}

void exchange::BeginCancel(const request_head&, std::string_view id) {
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
  const auto& parser = caller_.Parser();
  http::verb method = parser.get().method();
  job_ = {};
  job_.team = state_.team->name;
  state_.phase = request_phase::kJob;
  state_.deadline_at = state_.received_at + head.deadline_ms.value_or(10000);
  if (method == http::verb::post) {
    state_.service = core_.FindService(rest);
    if (!state_.service) {
      return Reject({404, "unknown_service", "No service has this name"});
    }
    if (auto refused = AdmitTeam(head)) return Reject(std::move(*refused));
    if (core_.Stopping()) {
      return Reject({503, "stopping", "This entry is stopping"});
    }
    job_.verb = rpc::job_verb::kSubmit;
    job_.service = rest;
    job_.job_id = state_.own_id ? state_.id : RandomHex(16);
    job_.idempotent = head.idempotent;
    if (auto refused = ReadJobNeeds()) return Reject(std::move(*refused));
  } else if (method == http::verb::get && rest.ends_with(kResult)) {
    job_.verb = rpc::job_verb::kResult;
    job_.job_id = rest.substr(0, rest.size() - kResult.size());
  } else if (method == http::verb::get || method == http::verb::delete_) {
    job_.verb = method == http::verb::get ? rpc::job_verb::kState
                                          : rpc::job_verb::kCancel;
    job_.job_id = rest;
  } else {
    return Reject(
        {405, "method_not_allowed", "Jobs take POST, GET and DELETE"});
  }
  if (!IsRequestId(job_.job_id)) {
    return Reject({400, "malformed_identifier",
                   "An identifier is 1 to 64 of [A-Za-z0-9._-]"});
  }
  StartBody(kJobBodyMax);
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
