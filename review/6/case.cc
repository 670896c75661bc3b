#include "case.h"

// A job with many due occurrences is handed in. The jobs of another tenant are
// asked for: each of them has to run.

namespace world {
namespace {

constexpr int kRunners = 6;
// A schedule of one occurrence a minute for a week, of 10 small steps each.
constexpr int kRepetitions = 10000;
constexpr millis kIntervalMs = 60000;
constexpr int kSteps = 10;
// The occurrences that are due when the schedule is handed in: those of 3 days.
constexpr int kDueOccurrences = 4320;
// The same schedule, half an hour old: it passes.
constexpr int kFewOccurrences = 30;
constexpr millis kTrafficMs = 30000;
constexpr millis kJobIntervalMs = 500;
constexpr millis kFinishMs = 14000;  ///< The bound `finish_s`.
// A job that has nothing running for this long, though its turn has come and
// there is room, is lost.
constexpr millis kIdleMs = 3000;

struct sent_job {
  std::string target;
  bool accepted = false;
  std::string state;
};

json::object Step(int count, int cpu, millis estimate) {
  return {{"count", count},
          {"cpu", cpu},
          {"mem-mb", 128},
          {"estimate-ms", estimate}};
}

std::string Target(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", 0xabc000 + number);
  return "/tiles/" + std::string(id);
}

net::awaitable<void> Send(deployment& world, sent_job& job) {
  const json::object body{{"spec", "tile"},
                          {"steps", json::array{Step(4, 500, 400)}}};
  job.accepted = co_await world.Submit(job.target, json::serialize(body));
}

net::awaitable<verdict> Play(deployment& world, bool trouble) {
  std::map<std::string, int> starts;  // By job id.
  std::size_t running = 0;
  std::size_t most_running_late = 0;
  world.observer.started = [&](const std::string& runner,
                               const std::string& task, int run,
                               const json::object&) {
    const std::string job = task.substr(0, 16);
    ++running;
    if (++starts[job] <= 4) {
      world.log.Line("start " + task + " run " + std::to_string(run) + " on " +
                     runner);
    }
  };
  world.observer.ended = [&](const std::string&, const std::string&, int,
                             const std::string&) { --running; };
  world.observer.acknowledged = [](const std::string&, const std::string&, int,
                                   const std::string&) {};
  world.platform.on_too_large = [&, logged = 0](const std::string& key,
                                                std::size_t bytes) mutable {
    if (++logged > 10) return;
    world.log.Line("the store refuses " + key + ": " + std::to_string(bytes) +
                   " bytes are more than value-bytes");
  };
  world.Configure({"tiles"});
  for (int i = 0; i < kRunners; ++i) {
    world.AddRunner({.id = "runner-" + std::to_string(i),
                     .service = "tiles",
                     .zone = "zone-" + std::to_string(i % 3 + 1),
                     .rack = "r" + std::to_string(i / 3)},
                    [](const std::string&, int) {
                      return run_plan{300, "done", false};
                    });
  }
  if (!co_await world.StartDaemons()) co_return kCouldNotRun;
  co_await Sleep(2000);

  const int due = trouble ? kDueOccurrences : kFewOccurrences;
  const std::string schedule_target = "/tiles/00000000005ced01";
  json::array steps;
  for (int i = 0; i < kSteps; ++i) {
    json::object step = Step(1, 100, 200);
    if (i > 0) step["after"] = json::array{i - 1};
    steps.push_back(std::move(step));
  }
  const json::object schedule_body{
      {"spec", "every minute"},
      {"steps", std::move(steps)},
      {"repetitions", kRepetitions},
      {"first-ms", UnixNow() - (due - 1) * kIntervalMs},
      {"interval-ms", kIntervalMs}};
  std::deque<sent_job> jobs;
  const millis begin = Now();
  bool schedule_sent = false;
  bool schedule_accepted = false;
  while (Now() - begin < kTrafficMs) {
    if (!schedule_sent && Now() - begin > 8000) {
      schedule_sent = true;
      world.log.Line("team-2 hands in a schedule with " + std::to_string(due) +
                     " due occurrences");
      schedule_accepted = co_await world.Submit(
          schedule_target, json::serialize(schedule_body), 5, "key-2");
    }
    jobs.push_back({Target(static_cast<int>(jobs.size())), false, ""});
    net::co_spawn(world.io, Send(world, jobs.back()), net::detached);
    co_await Sleep(kJobIntervalMs);
  }
  world.log.Line("end of the traffic");
  co_await Sleep(kFinishMs);
  const millis until = Now() + kIdleMs;
  while (Now() < until) {
    most_running_late = std::max(most_running_late, running);
    co_await Sleep(20);
  }
  // Room: each of 6 runners has 16 cores; a task of these jobs takes half a
  // core.
  world.log.Line("tasks at work in the last 3 s: at most " +
                 std::to_string(most_running_late));
  int accepted = 0;
  int unfinished = 0;
  int never_started = 0;
  for (sent_job& job : jobs) {
    if (!job.accepted) continue;
    ++accepted;
    job.state = co_await world.State(job.target);
    if (job.state == "succeeded") continue;
    ++unfinished;
    const bool began = starts.contains(job.target.substr(7));
    never_started += began ? 0 : 1;
    world.log.Line("GET " + job.target + ": " + job.state +
                   (began ? "" : ", no task was ever started"));
  }
  const std::string state = co_await world.State(schedule_target, 4, "key-2");
  world.log.Line("GET " + schedule_target + ": " + state + ", starts " +
                 std::to_string(starts["00000000005ced01"]));
  world.log.Line("jobs of team-1: accepted " + std::to_string(accepted) +
                 ", not succeeded " + std::to_string(unfinished) +
                 ", never started " + std::to_string(never_started));
  if (!schedule_accepted || accepted == 0) co_return kCouldNotRun;
  co_return unfinished > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace world

int main(int argc, char** argv) {
  return world::RunCase(argc, argv, world::Play);
}
