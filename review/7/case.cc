#include "case.h"

// The interface to machines is down for some seconds. Meanwhile a machine is
// added and its upkeep is asked for.

namespace world {
namespace {

constexpr int kRunners = 4;
constexpr millis kOutageMs = 5000;
constexpr std::int64_t kWave = 7;
constexpr millis kWatchMs = 30000;  ///< The time that the operator gives.

net::awaitable<verdict> Play(deployment& world, bool trouble) {
  world.observer.started = [&](const std::string& runner,
                               const std::string& task, int,
                               const json::object&) {
    world.log.Line("start " + task + " on " + runner);
  };
  world.observer.ended = [](const std::string&, const std::string&, int,
                            const std::string&) {};
  world.observer.acknowledged = world.observer.ended;
  world.Configure({"tiles"});
  const auto plan = [](const std::string&, int) {
    return run_plan{400, "done", false};
  };
  const auto settings = [](int i) {
    return runner_settings{.id = "runner-" + std::to_string(i),
                           .service = "tiles",
                           .zone = "zone-" + std::to_string(i % 3 + 1)};
  };
  for (int i = 0; i < kRunners; ++i) world.AddRunner(settings(i), plan);
  if (!co_await world.StartDaemons()) co_return kCouldNotRun;
  co_await Sleep(4000);

  if (trouble) {
    world.log.Line("the interface to machines answers 503");
    world.cloud.SetDown(true);
  }
  co_await Sleep(1000);
  runner& added = world.AddRunner(settings(kRunners), plan);
  const std::string machine = "machine-" + added.Id();
  world.log.Line(machine + " is added");
  world.cloud.upkeep_begins = [&](const std::string& name) {
    if (name == machine) added.Crash();
  };
  world.cloud.upkeep_ends = [&](const std::string& name) {
    if (name == machine) added.Start();
  };
  co_await Sleep(1500);
  world.cloud.AddWave(kWave, {machine});
  world.platform.Put("op/wave/7", json::serialize(json::object{
                                      {"wave", kWave},
                                      {"machines", json::array{machine}},
                                      {"duration-s", 26},
                                      {"cap", 1}}));
  world.log.Line("the operator asks for wave 7: " + machine);
  const millis asked_at = Now();
  std::string told;
  bool false_success = false;
  while (Now() - asked_at < kWatchMs) {
    if (trouble && Now() - asked_at > kOutageMs - 2500) {
      if (world.cloud.IsDown()) world.log.Line("the interface is back");
      world.cloud.SetDown(false);
    }
    const std::string state =
        TextAt(ParseBody(world.platform.Value("status/wave/7")), "state");
    const bool begun = world.cloud.Machines()[machine].waves.contains(kWave);
    if (state != told) {
      told = state;
      world.log.Line("status/wave/7: " + state + ", upkeep of " + machine +
                     (begun ? " has begun" : " has not begun"));
      if (state == "succeeded" && !begun) false_success = true;
    }
    co_await Sleep(20);
  }
  const bool begun = world.cloud.Machines()[machine].waves.contains(kWave);
  world.log.Line("30 s later the upkeep of " + machine +
                 (begun ? " has begun" : " has still not begun"));
  if (told.empty()) co_return kCouldNotRun;
  co_return false_success ? kBroken : kHeld;
}

}  // namespace
}  // namespace world

int main(int argc, char** argv) {
  return world::RunCase(argc, argv, world::Play);
}
