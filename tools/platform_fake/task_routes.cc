#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include "tools/platform_fake/platform_fake_impl.h"

namespace radishwing::platform_fake {
namespace {

namespace json = boost::json;

http::server_response StartResponse(task_table::start_outcome outcome,
                                    const std::string& body) {
  switch (outcome) {
    case task_table::start_outcome::kStarted:
      return http::JsonResponse(
          200, {{"id", json::parse(body).at("id")}, {"state", "running"}});
    case task_table::start_outcome::kExists:
      return http::ErrorResponse(409, "task_exists", "the task exists");
    case task_table::start_outcome::kNoHost:
      return http::ErrorResponse(422, "no_host", "no such host");
    case task_table::start_outcome::kHostNotUp:
      return http::ErrorResponse(422, "host_not_up", "the host is not up");
    case task_table::start_outcome::kNoRoom:
      break;
  }
  return http::ErrorResponse(422, "no_room", "the host has no room");
}

}  // namespace

http::server_response platform_fake::impl::RouteTasks(
    const http::server_request& request, std::string_view kind) {
  const std::string& path = request.target.path;
  if (path == "/v1/tasks") {
    const auto outcome =
        tasks.Start(json::parse(request.body).as_object(), Now());
    return StartResponse(outcome, request.body);
  }
  std::string id = path.substr(std::string_view("/v1/tasks/").size());
  std::string verb;
  const std::size_t slash = id.rfind('/');
  if (slash != std::string::npos) {
    verb = id.substr(slash + 1);
    id.resize(slash);
  }
  const fake_task* task = tasks.Find(id);
  if (!task) return http::ErrorResponse(404, "no_task", "no such task");
  if (kind == "task_read" && verb.empty()) {
    return http::JsonResponse(200, tasks.Json(*task, Now()));
  }
  if (kind == "task_read" && verb == "result") {
    if (task->state != task_state::kFinished) {
      return http::ErrorResponse(409, "not_finished", "the task has no result");
    }
    return http::JsonResponse(200, {{"result", task->result}});
  }
  bool changed = false;
  if (verb == "renew") changed = tasks.Renew(id, Now());
  if (verb == "stop") changed = tasks.Stop(id);
  if (verb == "checkpoint") changed = tasks.Checkpoint(id);
  if (verb == "throttle") {
    const json::value parsed = json::parse(request.body);
    changed =
        tasks.Throttle(id, json::value_to<double>(parsed.at("rate")), Now());
  }
  const json::object state = tasks.Json(*task, Now());
  return http::JsonResponse(changed ? 200 : 409, state);
}

}  // namespace radishwing::platform_fake
