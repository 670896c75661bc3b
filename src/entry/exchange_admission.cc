#include "src/base/sha256.h"
#include "src/entry/caller_connection.h"
#include "src/entry/entry_core.h"
#include "src/entry/exchange.h"

namespace radishwing::entry {

using requests::outcome;

namespace {

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
  if (target.starts_with(kOwnPathPrefix)) return BeginOwn(head);
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

}  // namespace radishwing::entry
