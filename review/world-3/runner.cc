#include "review/world-3/runner.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <stdexcept>

namespace review {
namespace json = boost::json;
namespace http = radishwing::http;

namespace {

constexpr millis kStartupMs = 500;  // Time until a lasting task is at work.

std::int64_t Number(const json::object& object, std::string_view key,
                    std::int64_t fallback = 0) {
  const json::value* value = object.if_contains(key);
  return value ? value->to_number<std::int64_t>() : fallback;
}

std::string Text(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value && value->is_string() ? std::string(value->as_string()) : "";
}

void After(boost::asio::io_context& io, millis delay,
           std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      io, std::chrono::milliseconds(delay));
  timer->async_wait(
      [timer, action = std::move(action)](boost::system::error_code error) {
        if (!error) action();
      });
}

// Checkpoints hold the work done in ms and a hash of the task or gang.
std::string MakeCheckpoint(millis work, const std::string& owner) {
  char text[32];
  std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(work),
                static_cast<unsigned>(std::hash<std::string>{}(owner)));
  return text;
}

}  // namespace

runner::runner(runner_world& world, place where)
    : world_(world), place_(std::move(where)) {
  Listen();
  Restart();
  ScheduleTick();
}

runner::~runner() { *alive_ = false; }

void runner::Listen() {
  http::server_options options;
  options.address = place_.address;
  auto made = http::server::Make(
      world_.io, options,
      [this](const http::server_request& request, auto respond) {
        Serve(request, std::move(respond));
      });
  if (!Ok(made)) throw std::runtime_error(Error(made).message);
  server_ = std::move(radishwing::Value(std::move(made)));
  place_.address = server_->Address();
}

void runner::Restart() {
  if (!server_) Listen();
  up_ = true;
  ++life_;
  born_clock_ = clock_.Now();
  born_unix_ = radishwing::clock::Wall().Now();
  fence_ = 0;
  lease_ = 0;
  next_end_ = 1;
  seq_ = 0;
  Beat();
}

void runner::Crash() {
  up_ = false;
  world_.records.Note("crash " + place_.id);
  for (auto& [task, run] : active_) {
    const task_id id = task_id::Parse(task);
    const step_plan* step = world_.records.FindStep(id);
    world_.records.AllRuns()[task].at(run.record).lost = true;
    if (step && step->gang) {
      const std::string gang = id.StepText() + "/" + std::to_string(run.number);
      EndGang(gang, task, "", "broken");
    }
  }
  active_.clear();
  highest_ended_.clear();
  ended_.clear();
  holds_.clear();
  server_.reset();
}

void runner::Register() {
  if (!up_) return;
  world_.registry.Put(
      "servers/" + place_.id,
      json::serialize(json::object{
          {"backend", place_.pool},
          {"address", place_.address},
          {"zone", place_.zone},
          {"version", "v1"},
          {"capacity", 8},
          {"state", "ready"},
          {"cold-ms", 0},
          {"free-resources",
           json::object{
               {"cpu", place_.cpu}, {"mem-mb", place_.mem_mb}, {"gpu", 0}}},
          {"labels", json::array{"a", place_.rack}},
          {"born", born_unix_},
          {"clock-ms", Clock()},
          {"seq", ++seq_}}));
}

void runner::Beat() {
  Register();
  After(world_.io, world_.heartbeat_ms, [this, life = life_, alive = alive_] {
    if (*alive && up_ && life == life_) Beat();
  });
}

void runner::ScheduleTick() {
  After(world_.io, 10, [this, alive = alive_] {
    if (!*alive) return;
    if (up_) Tick();
    ScheduleTick();
  });
}

millis runner::Work(const active_run& run) const {
  if (run.present_only) return run.work_before;
  return run.work_before + std::max<millis>(0, Clock() - run.work_from);
}

std::string runner::Saved(const std::string& task,
                          const active_run& run) const {
  const task_id id = task_id::Parse(task);
  const step_plan* step = world_.records.FindStep(id);
  if (!step || !step->checkpointing) return "";
  const millis work = Work(run) / world_.checkpoint_ms * world_.checkpoint_ms;
  if (work <= 0 || work <= run.work_before) return run.checkpoint;
  return MakeCheckpoint(work, step->gang ? id.StepText() : task);
}

void runner::End(const std::string& task, const std::string& how) {
  const auto it = active_.find(task);
  if (it == active_.end()) return;
  active_run run = it->second;
  std::string saved = Saved(task, run);
  if (how == "stopped") {
    const step_plan* step = world_.records.FindStep(task_id::Parse(task));
    if (step && step->checkpointing && !run.present_only) {
      const task_id id = task_id::Parse(task);
      saved = MakeCheckpoint(Work(run), step->gang ? id.StepText() : task);
    }
  }
  active_.erase(it);
  highest_ended_[task] = std::max(highest_ended_[task], run.number);
  world_.records.RecordEnd(task, run.record, how);
  ended_.push_back({next_end_++, task, run.number, how, saved, run.record});
}

void runner::EndGang(const std::string& gang, const std::string& by,
                     const std::string& how_by, const std::string& how_others) {
  const auto it = world_.gangs.find(gang);
  const auto members = it == world_.gangs.end()
                           ? std::vector<runner_world::gang_member>{}
                           : it->second;
  world_.gangs.erase(gang);
  if (!how_by.empty()) End(by, how_by);
  for (const auto& member : members) {
    if (member.task != by) member.at->End(member.task, how_others);
  }
}

void runner::Tick() {
  const millis now = Clock();
  std::vector<std::string> tasks;
  for (const auto& [task, run] : active_) tasks.push_back(task);
  const bool lapsed = now >= lease_;
  if (lapsed) {
    for (const ended_run& end : ended_) {
      world_.records.RecordLapse(end.task, end.record);
    }
  }
  for (const std::string& task : tasks) {
    const auto it = active_.find(task);
    if (it == active_.end()) continue;
    active_run& run = it->second;
    const task_id id = task_id::Parse(task);
    const step_plan* step = world_.records.FindStep(id);
    const std::string gang = id.StepText() + "/" + std::to_string(run.number);
    const bool is_gang = step && step->gang;
    if (lapsed) {
      is_gang ? EndGang(gang, task, "lapsed", "broken") : End(task, "lapsed");
    } else if (run.stop_at >= 0 && now >= run.stop_at) {
      is_gang ? EndGang(gang, task, "stopped", "broken") : End(task, "stopped");
    } else if (!step) {
      continue;
    } else if (run.present_only) {
      if (now - run.begun_at >= world_.gang_timeout_ms) {
        auto& members = world_.gangs[gang];
        std::erase_if(members, [&](const auto& m) { return m.task == task; });
        End(task, "alone");
      }
    } else if (!step->long_running && Work(run) >= step->run_ms) {
      int failed = 0;
      for (const book::run& earlier : world_.records.Runs(task)) {
        if (earlier.how == "failed") ++failed;
      }
      if (failed < step->failing_runs) {
        is_gang ? EndGang(gang, task, "failed", "broken") : End(task, "failed");
      } else {
        is_gang ? EndGang(gang, task, "done", "done") : End(task, "done");
      }
    }
  }
  if (!holds_.empty()) {
    std::vector<waiting_hold> due;
    std::erase_if(holds_, [&](waiting_hold& hold) {
      if (ended_.empty() && now < hold.until) return false;
      due.push_back(std::move(hold));
      return true;
    });
    for (waiting_hold& hold : due) {
      hold.respond(http::MakeJsonResponse(200, Listing()));
    }
  }
}

json::object runner::Listing() {
  json::array running;
  for (const auto& [task, run] : active_) {
    const step_plan* step = world_.records.FindStep(task_id::Parse(task));
    millis percent = 0;
    if (step && !run.present_only) {
      percent =
          step->long_running
              ? std::min<millis>(100, Work(run) * 100 / kStartupMs)
              : std::min<millis>(
                    99, Work(run) * 100 / std::max<millis>(1, step->run_ms));
    }
    running.push_back(json::array{task, run.number, Saved(task, run), percent,
                                  step ? step->cpu : 0});
  }
  json::array ended;
  for (const ended_run& end : ended_) {
    if (ended.size() >= 500) break;
    ended.push_back(
        json::array{end.number, end.task, end.run, end.how, end.saved});
  }
  return {{"clock-ms", Clock()},
          {"born", born_unix_},
          {"running", std::move(running)},
          {"ended", std::move(ended)}};
}

void runner::Reject(const responder& respond, const char* reason) {
  respond(http::MakeJsonResponse(
      409, json::object{{"clock-ms", Clock()}, {"reason", reason}}));
}

bool runner::Raise(const json::object& body, const responder& respond) {
  const auto fence = static_cast<std::uint64_t>(Number(body, "fence"));
  if (fence < fence_) {
    Reject(respond, "fence");
    return false;
  }
  fence_ = fence;
  return true;
}

void runner::Extend(const json::object& body) {
  const millis deadline =
      std::min(Number(body, "deadline-ms"), Clock() + world_.max_hold_ms);
  lease_ = std::max(lease_, deadline);
}

void runner::Serve(const http::server_request& request, responder respond) {
  if (!up_) return;
  Tick();
  const std::string_view instance = request.HeaderValue("Expect-Instance");
  if (!instance.empty() && instance != place_.id) {
    return respond(http::MakeJsonResponse(421, json::object{}));
  }
  if (request.target.path == "/healthz") {
    return respond(http::MakeJsonResponse(200, json::object{}));
  }
  const json::object body = json::parse(request.body).as_object();
  if (request.target.path == "/run-start") return Start(body, respond);
  if (request.target.path == "/run-stop") return Stop(body, respond);
  if (request.target.path == "/hold") return Hold(body, std::move(respond));
  if (request.target.path == "/pace") {
    if (!Raise(body, respond)) return;
    return respond(
        http::MakeJsonResponse(200, json::object{{"clock-ms", Clock()}}));
  }
  respond(http::MakeJsonResponse(404, json::object{}));
}

void runner::Start(const json::object& body, const responder& respond) {
  if (!Raise(body, respond)) return;
  const std::string task = Text(body, "task");
  const auto number = static_cast<int>(Number(body, "run"));
  const auto accept = [&] {
    Extend(body);
    respond(http::MakeJsonResponse(200, json::object{{"clock-ms", Clock()}}));
  };
  const auto current = active_.find(task);
  if (current != active_.end() && current->second.number == number) {
    return accept();
  }
  if (highest_ended_.contains(task) && number <= highest_ended_[task]) {
    Extend(body);
    return Reject(respond, "old");
  }
  if (Number(body, "deadline-ms") <= Clock()) return Reject(respond, "late");
  const task_id id = task_id::Parse(task);
  const job_plan* job = world_.records.FindJob(id.job);
  if (job && !world_.ticket_path_prefix.empty() &&
      job->path_prefix == world_.ticket_path_prefix) {
    const auto found = world_.tickets.find({id.StepText(), place_.id});
    if (found == world_.tickets.end() ||
        found->second.text != Text(body, "ticket") ||
        found->second.life != life_ ||
        found->second.valid_until < world_.records.Now()) {
      world_.records.Note("ticket refused " + task + " at " + place_.id);
      return Reject(respond, "ticket");
    }
  }
  const step_plan* step = world_.records.FindStep(id);
  std::int64_t used = 0;
  for (const auto& [name, run] : active_) {
    const step_plan* other = world_.records.FindStep(task_id::Parse(name));
    if (other) used += other->cpu;
  }
  if (step && used + step->cpu > place_.cpu) {
    if (place_.guards) {
      Extend(body);
      return Reject(respond, "room");
    }
    world_.records.Break("LIMIT", task + " on " + place_.id);
  }
  active_run run;
  run.number = number;
  run.record =
      world_.records.RecordStart(task, number, place_.id, Text(body, "spec"));
  run.begun_at = Clock();
  run.work_from = Clock();
  run.checkpoint = Text(body, "checkpoint");
  if (!run.checkpoint.empty()) {
    const millis work = std::stoll(run.checkpoint.substr(0, 8), nullptr, 16);
    const std::string owner = step && step->gang ? id.StepText() : task;
    if (run.checkpoint != MakeCheckpoint(work, owner)) {
      world_.records.Break("UNASKED", task + " with a foreign checkpoint");
    }
    run.work_before = work;
    run.work_from += world_.restore_ms;
  }
  if (step && step->gang) {
    run.present_only = true;
    const std::string gang = id.StepText() + "/" + std::to_string(number);
    auto& members = world_.gangs[gang];
    members.push_back({task, this});
    active_[task] = run;
    if (static_cast<int>(members.size()) == step->count) {
      for (const auto& member : members) {
        active_run& entry = member.at->active_.at(member.task);
        entry.present_only = false;
        entry.work_from = member.at->Clock() +
                          (entry.checkpoint.empty() ? 0 : world_.restore_ms);
        if (entry.checkpoint != run.checkpoint) {
          world_.records.Note("gang " + gang + " with unlike checkpoints");
        }
      }
    }
  } else {
    active_[task] = run;
  }
  accept();
}

void runner::Stop(const json::object& body, const responder& respond) {
  if (!Raise(body, respond)) return;
  const std::string task = Text(body, "task");
  const auto number = static_cast<int>(Number(body, "run"));
  highest_ended_[task] = std::max(highest_ended_[task], number);
  const auto it = active_.find(task);
  if (it != active_.end() && it->second.number <= number &&
      it->second.stop_at < 0) {
    it->second.stop_at = Clock() + world_.stop_ms / 2;
  }
  respond(http::MakeJsonResponse(200, json::object{{"clock-ms", Clock()}}));
}

void runner::Hold(const json::object& body, responder respond) {
  if (!Raise(body, respond)) return;
  const auto cursor = static_cast<std::uint64_t>(Number(body, "ack-cursor"));
  while (!ended_.empty() && ended_.front().number <= cursor) {
    world_.records.RecordNoted(ended_.front().task, ended_.front().record);
    ended_.pop_front();
  }
  if (body.contains("deadline-ms")) Extend(body);
  const millis wait = std::min<millis>(2000, Number(body, "wait-ms"));
  if (wait == 0 || !ended_.empty()) {
    return respond(http::MakeJsonResponse(200, Listing()));
  }
  holds_.push_back({Clock() + wait, std::move(respond)});
}

}  // namespace review
