#include "src/platform/http_task_client.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <stdexcept>
#include <utility>

#include "src/http/target.h"
#include "src/platform/json_access.h"
#include "src/platform/resolved_write.h"

namespace radishwing::platform {
namespace {

namespace json = boost::json;
using boost::beast::http::verb;

std::string TaskTarget(std::string_view id) {
  return "/v1/tasks/" + http::EscapePath(id);
}

task_state ParseState(std::string_view name) {
  if (name == "running") return task_state::kRunning;
  if (name == "finished") return task_state::kFinished;
  if (name == "failed") return task_state::kFailed;
  if (name == "stopped") return task_state::kStopped;
  if (name == "lapsed") return task_state::kLapsed;
  throw std::invalid_argument("unknown task state " + std::string(name));
}

task_status ParseStatus(const json::value& body) {
  task_status status;
  status.id = json::value_to<std::string>(body.at("id"));
  status.state = ParseState(body.at("state").as_string());
  const json::value& usage = body.at("usage");
  status.usage_as_of_ms = json::value_to<millis>(usage.at("as_of_ms"));
  status.cpu_ms = json::value_to<std::uint64_t>(usage.at("cpu_ms"));
  status.memory_mb = json::value_to<std::uint64_t>(usage.at("memory_mb"));
  return status;
}

std::string FormatSpec(const task_spec& spec) {
  return json::serialize(json::value{{"id", spec.id},
                                     {"service", spec.service},
                                     {"team", spec.team},
                                     {"host", spec.host},
                                     {"cores", spec.cores},
                                     {"memory_mb", spec.memory_mb},
                                     {"accelerators", spec.accelerators},
                                     {"body", spec.body},
                                     {"lease_ms", spec.lease_ms},
                                     {"preemptible", spec.preemptible}});
}

std::optional<start_outcome> JudgeStart(const result<platform_answer>& answer,
                                        bool in_doubt) {
  if (!Ok(answer)) {
    if (in_doubt || !NothingDone(Error(answer))) return std::nullopt;
    return start_outcome{start_state::kNotDone, Error(answer).message};
  }
  const unsigned status = Value(answer).status;
  if (status == 200 || status == 409) {
    return start_outcome{start_state::kStarted, {}};
  }
  const failure f = FailureOf(Value(answer));
  if (in_doubt || !NothingDone(f)) return std::nullopt;
  const bool refused = f.kind == failure_kind::kInvalid;
  return start_outcome{refused ? start_state::kRefused : start_state::kNotDone,
                       f.message};
}

resolved_write_steps<start_outcome> StepsOfStart(const task_spec& spec) {
  resolved_write_steps<start_outcome> steps;
  steps.write = [content = FormatSpec(spec)](
                    platform_link& link, platform_link::completion completion) {
    link.Send(verb::post, "/v1/tasks", content, std::move(completion));
  };
  steps.read = [id = spec.id](platform_link& link,
                              platform_link::completion completion) {
    link.Get(TaskTarget(id), std::move(completion));
  };
  steps.on_write = JudgeStart;
  steps.on_read = [](const platform_answer& answer, start_outcome& outcome) {
    if (answer.status == 404) return read_back::kWriteAgain;
    if (answer.status != 200) return read_back::kReadAgain;
    outcome.state = start_state::kStarted;
    return read_back::kSettled;
  };
  steps.unknown = [] {
    return start_outcome{
        start_state::kUnknown,
        "the answer was lost and the platform is out of reach"};
  };
  return steps;
}

}  // namespace

http_task_client::http_task_client(std::shared_ptr<platform_link> link)
    : link_(std::move(link)) {}

void http_task_client::Start(task_spec spec,
                             std::function<void(start_outcome)> completion) {
  resolved_write<start_outcome>::Run(link_, StepsOfStart(spec),
                                     std::move(completion));
}

void http_task_client::Get(std::string_view id,
                           completion<task_status> completion) {
  link_->Get(TaskTarget(id),
             Reading<task_status>(ParseStatus, std::move(completion)));
}

void http_task_client::Renew(std::string_view id, completion<done> completion) {
  Post(id, "/renew", "", std::move(completion));
}

void http_task_client::Checkpoint(std::string_view id,
                                  completion<done> completion) {
  Post(id, "/checkpoint", "", std::move(completion));
}

void http_task_client::Throttle(std::string_view id, double rate,
                                completion<done> completion) {
  Post(id, "/throttle", json::serialize(json::value{{"rate", rate}}),
       std::move(completion));
}

void http_task_client::Stop(std::string_view id, completion<done> completion) {
  Post(id, "/stop", "", std::move(completion));
}

void http_task_client::Result(std::string_view id,
                              completion<std::string> completion) {
  link_->Get(TaskTarget(id) + "/result",
             Reading<std::string>(
                 [](const json::value& body) {
                   return json::value_to<std::string>(body.at("result"));
                 },
                 std::move(completion)));
}

void http_task_client::Post(std::string_view id, std::string_view verb_name,
                            std::string content, completion<done> completion) {
  link_->Send(verb::post, TaskTarget(id) + std::string(verb_name),
              std::move(content),
              Reading<done>([](const json::value&) { return done{}; },
                            std::move(completion)));
}

}  // namespace radishwing::platform
