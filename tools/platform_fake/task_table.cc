#include "tools/platform_fake/task_table.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <utility>

namespace radishwing::platform_fake {
namespace {

namespace json = boost::json;

template <typename T>
T Member(const json::object& object, std::string_view name, T otherwise) {
  const json::value* value = object.if_contains({name.data(), name.size()});
  return value ? json::value_to<T>(*value) : otherwise;
}

bool OccupiesHost(const fake_task& task) {
  return task.state == task_state::kRunning ||
         task.state == task_state::kLapsed;
}

// Reads the behaviour of the fake worker from the task's body.
void ReadBehaviour(const std::string& body, millis default_ms, millis now,
                   fake_task& task) {
  task.result = "done";
  task.ends_at = now + default_ms;
  boost::system::error_code error;
  const json::value parsed = json::parse(body, error);
  if (error || !parsed.is_object()) return;
  const json::object& object = parsed.as_object();
  task.ends_at = now + Member<millis>(object, "run_ms", default_ms);
  task.result = Member<std::string>(object, "result", task.result);
  if (Member<std::string>(object, "exit", "finished") == "failed") {
    task.exit = task_state::kFailed;
  }
}

}  // namespace

std::string_view TaskStateName(task_state state) {
  switch (state) {
    case task_state::kRunning:
      return "running";
    case task_state::kFinished:
      return "finished";
    case task_state::kFailed:
      return "failed";
    case task_state::kStopped:
      return "stopped";
    case task_state::kLapsed:
      return "lapsed";
  }
  return "failed";
}

task_table::start_outcome task_table::Start(const json::object& spec,
                                            millis now) {
  fake_task task;
  task.id = json::value_to<std::string>(spec.at("id"));
  task.host = json::value_to<std::string>(spec.at("host"));
  task.service = Member<std::string>(spec, "service", "");
  task.team = Member<std::string>(spec, "team", "");
  task.cores = Member<std::uint32_t>(spec, "cores", 0);
  task.memory_mb = Member<std::uint32_t>(spec, "memory_mb", 0);
  task.accelerators = Member<std::uint32_t>(spec, "accelerators", 0);
  task.lease_ms = json::value_to<millis>(spec.at("lease_ms"));
  task.preemptible = Member<bool>(spec, "preemptible", false);
  task.started_at = now;
  task.lease_ends_at = now + task.lease_ms;
  ReadBehaviour(Member<std::string>(spec, "body", ""), task_ms_, now, task);
  if (tasks_.contains(task.id)) return start_outcome::kExists;
  const fake_host* host = hosts_.Find(task.host);
  if (!host) return start_outcome::kNoHost;
  if (hosts_.State(task.host) != host_state::kUp) {
    return start_outcome::kHostNotUp;
  }
  if (!HasRoom(task, *host)) return start_outcome::kNoRoom;
  if (host->fails_tasks) {
    task.exit = task_state::kFailed;
    task.ends_at = now;
  }
  tasks_.emplace(task.id, std::move(task));
  return start_outcome::kStarted;
}

const fake_task* task_table::Find(std::string_view id) const {
  const auto found = tasks_.find(id);
  return found == tasks_.end() ? nullptr : &found->second;
}

bool task_table::Renew(std::string_view id, millis now) {
  fake_task* task = FindLive(id);
  if (!task || task->state != task_state::kRunning) return false;
  task->lease_ends_at = now + task->lease_ms;
  return true;
}

bool task_table::Stop(std::string_view id) {
  fake_task* task = FindLive(id);
  if (task) task->state = task_state::kStopped;
  return task != nullptr;
}

bool task_table::Checkpoint(std::string_view id) {
  fake_task* task = FindLive(id);
  if (task) ++task->checkpoints;
  return task != nullptr;
}

bool task_table::Throttle(std::string_view id, double rate, millis now) {
  fake_task* task = FindLive(id);
  if (!task) return false;
  rate = std::clamp(rate, 0.01, 1.0);
  const double left = static_cast<double>(task->ends_at - now) * task->rate;
  task->ends_at = now + static_cast<millis>(left / rate);
  task->rate = rate;
  return true;
}

bool task_table::Lapse(std::string_view id) {
  fake_task* task = FindLive(id);
  if (!task || task->state != task_state::kRunning) return false;
  task->state = task_state::kLapsed;
  return true;
}

void task_table::Tick(millis now) {
  for (auto& [id, task] : tasks_) {
    if (!OccupiesHost(task)) continue;
    const host_state host = hosts_.State(task.host);
    if (host == host_state::kRebooting || host == host_state::kFailed) {
      task.state = task_state::kFailed;
      task.result = "the host went down";
    } else if (now >= task.ends_at) {
      task.state = task.exit;
    } else if (now >= task.lease_ends_at) {
      task.state = task_state::kLapsed;
    }
  }
}

json::object task_table::Json(const fake_task& task, millis now) const {
  const millis as_of = now - lag_ms_;
  const millis ran =
      std::max<millis>(0, std::min(as_of, task.ends_at) - task.started_at);
  return {{"id", task.id},
          {"state", TaskStateName(task.state)},
          {"host", task.host},
          {"checkpoints", task.checkpoints},
          {"usage",
           {{"as_of_ms", as_of},
            {"cpu_ms", ran * task.cores},
            {"memory_mb", task.memory_mb}}}};
}

std::size_t task_table::Running() const {
  return std::count_if(tasks_.begin(), tasks_.end(), [](const auto& item) {
    return OccupiesHost(item.second);
  });
}

bool task_table::HasRoom(const fake_task& task, const fake_host& host) const {
  std::uint64_t cores = task.cores;
  std::uint64_t memory_mb = task.memory_mb;
  std::uint64_t accelerators = task.accelerators;
  for (const auto& [id, other] : tasks_) {
    if (other.host != host.host || !OccupiesHost(other)) continue;
    cores += other.cores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
  }
  return cores <= host.cores && memory_mb <= host.memory_mb &&
         accelerators <= host.accelerators;
}

fake_task* task_table::FindLive(std::string_view id) {
  const auto found = tasks_.find(id);
  if (found == tasks_.end() || !OccupiesHost(found->second)) return nullptr;
  return &found->second;
}

}  // namespace radishwing::platform_fake
