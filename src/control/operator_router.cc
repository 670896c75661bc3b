#include "src/control/operator_router.h"

#include <algorithm>

#include "src/control/operator_json.h"
#include "src/settings/field_schema.h"
#include "src/settings/finding_json.h"
#include "src/settings/fleet_parser.h"

namespace radishwing::control {
namespace {

using boost::beast::http::verb;
using responder = operator_router::responder;

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    path.remove_prefix(1);
    const std::size_t end = std::min(path.find('/'), path.size());
    parts.emplace_back(path.substr(0, end));
    path.remove_prefix(end);
  }
  return parts;
}

http::server_response NotFound() {
  return http::ErrorResponse(404, "not_found", "no such path");
}

http::server_response NoHook() {
  return http::ErrorResponse(503, "unavailable",
                             "this control cannot do that yet");
}

/// Completion of a hook that yields JSON. `list` wraps a list under a name.
json_completion RespondJson(responder respond, std::string list = {}) {
  return [respond = std::move(respond),
          list = std::move(list)](result<boost::json::value> outcome) {
    if (!Ok(outcome)) return respond(FailureResponse(Error(outcome)));
    if (list.empty()) return respond(http::JsonResponse(200, Value(outcome)));
    boost::json::object wrapped;
    wrapped[list] = std::move(Value(outcome));
    respond(http::JsonResponse(200, wrapped));
  };
}

template <typename Hook>
void List(const Hook& hook, const std::string& name, responder respond) {
  if (!hook) return respond(NoHook());
  hook(RespondJson(std::move(respond), name));
}

template <typename Hook>
void Show(const Hook& hook, const std::string& name, responder respond) {
  if (!hook) return respond(NoHook());
  if (!settings::IsName(name)) return respond(NotFound());
  hook(name, RespondJson(std::move(respond)));
}

}  // namespace

http::server_response FailureResponse(const failure& error) {
  unsigned status = 500;
  switch (error.kind) {
    case failure_kind::kInvalid:
      status = 400;
      break;
    case failure_kind::kDenied:
      status = 403;
      break;
    case failure_kind::kNotFound:
      status = 404;
      break;
    case failure_kind::kConflict:
      status = 409;
      break;
    case failure_kind::kUnavailable:
    case failure_kind::kFull:
      status = 503;
      break;
    case failure_kind::kTimeout:
      status = 504;
      break;
    case failure_kind::kInternal:
      break;
  }
  return http::ErrorResponse(status, FailureKindName(error.kind),
                             error.message);
}

void operator_router::Handle(const http::server_request& request,
                             responder respond) {
  std::vector<std::string> path = SplitPath(request.target.path);
  if (path.size() < 2 || path.size() > 4 || path[0] != "v1") {
    return respond(NotFound());
  }
  path.erase(path.begin());
  switch (request.method) {
    case verb::get:
      return HandleGet(path, request, std::move(respond));
    case verb::post:
      return HandlePost(path, request, std::move(respond));
    case verb::put:
      if (path == std::vector<std::string>{"log-level"}) {
        return SetLogLevel(request, std::move(respond));
      }
      return respond(NotFound());
    case verb::delete_:
      if (path.size() == 2 && path[0] == "jobs") {
        return Show(hooks_.cancel_job, path[1], std::move(respond));
      }
      return respond(NotFound());
    default:
      return respond(
          http::ErrorResponse(405, "method", "method is not supported"));
  }
}

void operator_router::HandleGet(const path& path,
                                const http::server_request& request,
                                responder respond) {
  const std::string& first = path[0];
  if (first == "settings") return HandleSettingsGet(path, request, respond);
  if (path.size() > 2) return respond(NotFound());
  if (path.size() == 1) {
    if (first == "status") return List(hooks_.status, "", respond);
    if (first == "pools") return List(hooks_.list_pools, "pools", respond);
    if (first == "hosts") return List(hooks_.list_hosts, "hosts", respond);
    if (first == "waves") return List(hooks_.list_waves, "waves", respond);
    if (first == "jobs") return List(hooks_.list_jobs, "jobs", respond);
    if (first == "explain") return Explain(request, respond);
    return respond(NotFound());
  }
  if (first == "pools") return Show(hooks_.show_pool, path[1], respond);
  if (first == "hosts") return Show(hooks_.show_host, path[1], respond);
  if (first == "waves") return Show(hooks_.show_wave, path[1], respond);
  if (first == "jobs") return Show(hooks_.show_job, path[1], respond);
  respond(NotFound());
}

void operator_router::HandleSettingsGet(const path& path,
                                        const http::server_request& request,
                                        responder respond) {
  if (path.size() == 2 && path[1] == "history") {
    return ShowHistory(request, std::move(respond));
  }
  if (path.size() == 2 && path[1] == "confirmations") {
    return ShowConfirmations(request, std::move(respond));
  }
  if (path.size() != 1) return respond(NotFound());
  if (!hooks_.get_settings) return respond(NoHook());
  hooks_.get_settings([respond](result<settings_revision> outcome) {
    if (!Ok(outcome)) return respond(FailureResponse(Error(outcome)));
    respond(http::JsonResponse(200, RevisionToJson(Value(outcome))));
  });
}

void operator_router::ShowHistory(const http::server_request& request,
                                  responder respond) {
  const std::string_view wanted = request.target.Param("revision");
  if (wanted.empty()) {
    if (!hooks_.settings_history) return respond(NoHook());
    return hooks_.settings_history([respond](auto outcome) {
      if (!Ok(outcome)) return respond(FailureResponse(Error(outcome)));
      respond(http::JsonResponse(200, HistoryToJson(Value(outcome))));
    });
  }
  if (!hooks_.settings_at) return respond(NoHook());
  result<std::uint64_t> revision = ReadRevision(wanted);
  if (!Ok(revision)) return respond(FailureResponse(Error(revision)));
  hooks_.settings_at(Value(revision), [respond](auto outcome) {
    if (!Ok(outcome)) return respond(FailureResponse(Error(outcome)));
    respond(http::JsonResponse(200, RevisionToJson(Value(outcome))));
  });
}

void operator_router::ShowConfirmations(const http::server_request& request,
                                        responder respond) {
  if (!hooks_.confirmations) return respond(NoHook());
  result<std::uint64_t> revision =
      ReadRevision(request.target.Param("revision"));
  if (!Ok(revision)) return respond(FailureResponse(Error(revision)));
  hooks_.confirmations(Value(revision), [respond](auto outcome) {
    if (!Ok(outcome)) return respond(FailureResponse(Error(outcome)));
    respond(http::JsonResponse(200, ConfirmationsToJson(Value(outcome))));
  });
}

void operator_router::HandlePost(const path& path,
                                 const http::server_request& request,
                                 responder respond) {
  if (path.size() == 1 && path[0] == "settings") {
    return ApplySettings(request, std::move(respond));
  }
  const bool host_order =
      path.size() == 3 && path[0] == "hosts" &&
      (path[2] == "drain" || path[2] == "return" || path[2] == "move");
  if (host_order) return OrderHost(path, request, std::move(respond));
  respond(NotFound());
}

// The text is checked here, so that every control gives the same findings and
// no hook sees a text that cannot be applied.
void operator_router::ApplySettings(const http::server_request& request,
                                    responder respond) {
  if (!hooks_.apply_settings) return respond(NoHook());
  result<boost::json::object> body = ParseOperatorBody(request.body);
  if (!Ok(body)) return respond(FailureResponse(Error(body)));
  result<settings_proposal> proposal = ReadProposal(Value(body));
  if (!Ok(proposal)) return respond(FailureResponse(Error(proposal)));
  auto parsed = settings::ParseFleetSettings("settings", Value(proposal).text,
                                             Value(proposal).base_revision + 1);
  if (parsed.index() == 1) {
    const boost::json::object findings = {
        {"reason", "findings"},
        {"message", "the settings have findings"},
        {"findings", settings::FindingsToJson(std::get<1>(parsed))}};
    return respond(http::JsonResponse(400, findings));
  }
  Value(proposal).parsed = std::get<0>(std::move(parsed));
  hooks_.apply_settings(
      Value(std::move(proposal)), [respond](result<proposal_outcome> outcome) {
        if (!Ok(outcome)) return respond(FailureResponse(Error(outcome)));
        if (auto* conflict = std::get_if<settings_conflict>(&Value(outcome))) {
          boost::json::object body = RevisionToJson(conflict->current);
          body["reason"] = "conflict";
          body["message"] = "the settings are at another revision";
          return respond(http::JsonResponse(409, body));
        }
        const boost::json::object body = {
            {"revision", std::get<std::uint64_t>(Value(outcome))}};
        respond(http::JsonResponse(200, body));
      });
}

void operator_router::OrderHost(const path& path,
                                const http::server_request& request,
                                responder respond) {
  if (!hooks_.order_host) return respond(NoHook());
  if (!settings::IsName(path[1])) return respond(NotFound());
  result<boost::json::object> body = ParseOperatorBody(request.body);
  if (!Ok(body)) return respond(FailureResponse(Error(body)));
  result<host_order> order = ReadHostOrder(path[1], path[2], Value(body));
  if (!Ok(order)) return respond(FailureResponse(Error(order)));
  hooks_.order_host(Value(std::move(order)), RespondJson(std::move(respond)));
}

void operator_router::Explain(const http::server_request& request,
                              responder respond) {
  if (!hooks_.explain) return respond(NoHook());
  using kind = explain_subject::kind;
  struct choice {
    std::string_view name;
    kind what;
  };
  for (const choice& c :
       {choice{"request", kind::kRequest}, choice{"host", kind::kHost},
        choice{"team", kind::kTeam}}) {
    const std::string name(request.target.Param(c.name));
    if (!settings::IsName(name)) continue;
    return hooks_.explain({c.what, name}, RespondJson(std::move(respond)));
  }
  respond(FailureResponse(
      {failure_kind::kInvalid,
       "one of the parameters request, host, team must be a name"}));
}

void operator_router::SetLogLevel(const http::server_request& request,
                                  responder respond) {
  if (!hooks_.set_log_level) return respond(NoHook());
  result<boost::json::object> body = ParseOperatorBody(request.body);
  if (!Ok(body)) return respond(FailureResponse(Error(body)));
  result<log_level> level = ReadLogLevel(Value(body));
  if (!Ok(level)) return respond(FailureResponse(Error(level)));
  hooks_.set_log_level(Value(level));
  respond(http::JsonResponse(200, boost::json::object()));
}

}  // namespace radishwing::control
