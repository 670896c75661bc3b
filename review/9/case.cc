#include "case.h"

// The leader is killed while the tasks of a job with speculative steps end.
// Jobs that come later have to run.

namespace world {
namespace {

// The runner of the first zone answers after 20 ms, the other one at once.
constexpr millis kFarAnswerMs = 20;
constexpr int kCores = 16;
constexpr int kLastingTasks =
    15;  // Of one core each: under half of the service.
constexpr millis kFinishMs = 14000;  ///< The bound `finish_s`.
constexpr millis kIdleMs = 3000;
constexpr const char* kSpeculative = "/tiles/0000000000a0c0b1";
constexpr const char* kLasting = "/tiles/0000000000a0c0b2";
constexpr const char* kLater = "/tiles/0000000000a0c0b3";

json::object Step(int count, int cpu, millis estimate) {
  return {{"count", count},
          {"cpu", cpu},
          {"mem-mb", 128},
          {"estimate-ms", estimate}};
}

/// Returns the body of a job. `copies` allows copies of the tasks of its steps.
std::string Job(json::array steps, bool copies) {
  for (json::value& step : steps) {
    if (copies) step.as_object()["speculative"] = true;
  }
  return json::serialize(
      json::object{{"spec", "tile"}, {"steps", std::move(steps)}});
}

net::awaitable<verdict> Play(deployment& world, bool trouble) {
  std::map<std::string, int> at_work;  // Tasks at work, by runner.
  std::map<std::string, int> starts;   // By job.
  world.observer.started = [&](const std::string& runner,
                               const std::string& task, int run,
                               const json::object&) {
    ++at_work[runner];
    ++starts[task.substr(0, 16)];
    world.log.Line("start " + task + " run " + std::to_string(run) + " on " +
                   runner);
  };
  world.observer.ended = [&](const std::string& runner, const std::string& task,
                             int run, const std::string& how) {
    --at_work[runner];
    world.log.Line("end " + task + " run " + std::to_string(run) + " on " +
                   runner + ": " + how);
  };
  world.observer.acknowledged = [](const std::string&, const std::string&, int,
                                   const std::string&) {};
  world.Configure({"tiles"});
  const std::string lasting = std::string(kLasting).substr(7);
  const auto plan = [lasting](const std::string& task, int) {
    return task.starts_with(lasting) ? run_plan{-1, "", false}
                                     : run_plan{1000, "done", false};
  };
  world.AddRunner({.id = "runner-0",
                   .service = "tiles",
                   .zone = "zone-1",
                   .rack = "r0",
                   .answer_ms = kFarAnswerMs},
                  plan);
  world.AddRunner(
      {.id = "runner-1", .service = "tiles", .zone = "zone-2", .rack = "r1"},
      plan);
  if (!co_await world.StartDaemons()) co_return kCouldNotRun;
  co_await Sleep(3000);

  json::object second = Step(2, 1000, 1000);
  json::array before;
  before.push_back(0);
  second["after"] = std::move(before);
  json::array speculative_steps;
  speculative_steps.push_back(Step(kCores, 1000, 1000));
  speculative_steps.push_back(std::move(second));
  const std::string speculative_job = Job(std::move(speculative_steps), true);
  if (!co_await world.Submit(kSpeculative, speculative_job)) {
    co_return kCouldNotRun;
  }
  co_await Sleep(500);
  if (trouble) {
    const int leader = world.Leader();
    if (leader < 0) co_return kCouldNotRun;
    world.log.Line("the leader " + nodes::Name(leader) + " is killed");
    world.daemons.Signal(leader, SIGKILL);
    co_await world.AwaitEnd(leader);
    co_await Sleep(3500);
    world.daemons.Start(leader);
  }
  co_await Sleep(8000);
  world.log.Line("GET " + std::string(kSpeculative) + ": " +
                 co_await world.State(kSpeculative));
  json::object lasting_step = Step(kLastingTasks, 1000, 1000);
  lasting_step["long-running"] = true;
  json::array lasting_steps;
  lasting_steps.push_back(std::move(lasting_step));
  const std::string lasting_job = Job(std::move(lasting_steps), false);
  if (!co_await world.Submit(kLasting, lasting_job)) co_return kCouldNotRun;
  co_await Sleep(4000);
  json::array later_steps;
  later_steps.push_back(Step(1, 4000, 1000));
  const std::string later_job = Job(std::move(later_steps), false);
  if (!co_await world.Submit(kLater, later_job)) co_return kCouldNotRun;
  co_await Sleep(kFinishMs + kIdleMs);
  for (const auto& [runner, count] : at_work) {
    world.log.Line("tasks at work on " + runner + ": " + std::to_string(count));
  }
  const std::string state = co_await world.State(kLater);
  world.log.Line("GET " + std::string(kLater) + ": " + state + ", starts " +
                 std::to_string(starts[std::string(kLater).substr(7)]));
  if (starts[lasting] < kLastingTasks) co_return kCouldNotRun;
  co_return state == "succeeded" ? kHeld : kBroken;
}

}  // namespace
}  // namespace world

int main(int argc, char** argv) {
  return world::RunCase(argc, argv, world::Play);
}
