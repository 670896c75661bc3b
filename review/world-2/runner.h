#pragma once

#include <algorithm>
#include <deque>
#include <random>

#include "http.h"
#include "record.h"
#include "store.h"

namespace world {

/// What one run of a task does.
struct run_plan {
  /// Time in ms of work until the run ends; -1: it works until it is stopped.
  millis work_ms = 500;
  std::string how = "done";  ///< How the run ends after that time.
  bool checkpoints = false;  ///< The run saves its progress.
};

struct runner_settings {
  std::string id;
  std::string machine = {};  ///< The machine that it is a life of.
  std::string service;
  std::string zone;
  std::string rack = "r1";
  std::string kind = "a";
  std::int64_t cpu = 16000;
  std::int64_t memory_mb = 65536;
  millis heartbeat_ms = 1500;
  millis answer_ms = 0;  ///< Time that an answer takes.
  millis max_hold_ms = 6000;
  millis gang_timeout_ms = 3000;
  millis checkpoint_ms = 2000;
  millis restore_ms = 250;
};

/// What runners tell the judge of a case.
struct run_observer {
  /// A run began. `order` is the body of the start order.
  std::function<void(const std::string& runner, const std::string& task,
                     int run, const json::object& order)>
      started;
  std::function<void(const std::string& runner, const std::string& task,
                     int run, const std::string& how)>
      ended;
  /// The end of a run was acknowledged by the cursor.
  std::function<void(const std::string& runner, const std::string& task,
                     int run, const std::string& how)>
      acknowledged;
};

/// Stand-in for a runner that receives its orders by request, as the page on
/// the protocol describes it.
class runner {
 public:
  using planner = std::function<run_plan(const std::string& task, int run)>;

  runner(net::io_context& io, store& registry, record& log,
         runner_settings settings, const std::string& ip, planner plan,
         run_observer observer)
      : io_(io),
        registry_(registry),
        log_(log),
        settings_(std::move(settings)),
        ip_(ip),
        plan_(std::move(plan)),
        observer_(std::move(observer)),
        alive_(std::make_shared<bool>(true)) {
    Start();
  }
  ~runner() { *alive_ = false; }

  const std::string& Id() const { return settings_.id; }
  const std::string& Machine() const { return settings_.machine; }
  const runner_settings& Settings() const { return settings_; }
  const planner& Plan() const { return plan_; }
  bool IsUp() const { return server_ != nullptr; }
  std::size_t RunCount() const { return runs_.size(); }
  bool Runs(const std::string& task) const { return runs_.contains(task); }

  /// Begins a new life under the same id, at a new port.
  void Start() {
    if (server_) return;
    born_unix_ = UnixNow();
    born_ = Now();
    server_ = std::make_unique<http_server>(
        io_, ip_, 0, [this](request call) { return Serve(std::move(call)); });
    ++life_;
    net::co_spawn(io_, Beat(life_, alive_), net::detached);
    net::co_spawn(io_, Work(life_, alive_), net::detached);
  }

  /// Ends this life at once. All that runs ends without a trace; the entry in
  /// the store stays until three heartbeats have been missed.
  void Crash() { EndLife("crashes"); }

  /// Ends this life as planned: the entry in the store goes with it.
  void Leave() {
    EndLife("leaves");
    registry_.Remove("servers/" + settings_.id);
  }

  void SetDraining(bool draining) {
    draining_ = draining;
    Register();
  }

  /// Ends a run; for tasks whose end depends on others.
  void Finish(const std::string& task, const std::string& how) {
    End(task, how);
  }

  /// Of 100 orders, so many are carried out without an answer, and so many are
  /// carried out without an answer `late_ms` later.
  void SetOrderLoss(int unanswered, int late, millis late_ms) {
    unanswered_percent_ = unanswered;
    late_percent_ = late;
    late_ms_ = late_ms;
  }

  /// While true, starts are answered with 503 and do nothing.
  void SetRefusing(bool refusing) { refusing_ = refusing; }

 private:
  void EndLife(const std::string& how) {
    if (!server_) return;
    log_.Line("runner " + settings_.id + " " + how + " with " +
              std::to_string(runs_.size()) + " runs");
    ++life_;
    server_->Close();
    retired_.push_back(std::move(server_));
    for (const auto& [task, run] : runs_) {
      observer_.ended(settings_.id, task, run.number, "crash");
    }
    runs_.clear();
    ends_.clear();
    highest_.clear();
    fence_ = 0;
    lease_until_ = 0;
    next_end_ = 1;
    net::co_spawn(io_, Expire(life_, alive_), net::detached);
  }

  struct run_state {
    int number = 0;
    run_plan plan;
    millis started_at = 0;
    millis saved_ms = 0;  ///< Work that the newest checkpoint holds.
    millis resumed_ms = 0;
    std::string saved;
  };
  struct end_row {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
    std::string saved;
  };

  millis Clock() const { return Now() - born_; }

  void Register() {
    if (!server_) return;
    registry_.Put(
        "servers/" + settings_.id,
        json::serialize(json::object{
            {"backend", settings_.service},
            {"address", server_->Address()},
            {"zone", settings_.zone},
            {"version", "1"},
            {"capacity", 8},
            {"state", draining_ ? "draining" : "ready"},
            {"cold-ms", 0},
            {"born", born_unix_},
            {"free-resources", json::object{{"cpu", settings_.cpu},
                                            {"mem-mb", settings_.memory_mb},
                                            {"gpu", 0}}},
            {"labels", json::array{settings_.kind, settings_.rack}},
            {"seq", ++sequence_}}));
  }

  net::awaitable<void> Beat(int life, std::shared_ptr<bool> alive) {
    while (*alive && life == life_) {
      Register();
      co_await Sleep(settings_.heartbeat_ms);
    }
  }

  net::awaitable<void> Expire(int life, std::shared_ptr<bool> alive) {
    co_await Sleep(3 * settings_.heartbeat_ms);
    if (*alive && life == life_) registry_.Remove("servers/" + settings_.id);
  }

  net::awaitable<void> Work(int life, std::shared_ptr<bool> alive) {
    while (*alive && life == life_) {
      EndDueRuns();
      co_await Sleep(5);
    }
  }

  void EndDueRuns() {
    std::vector<std::pair<std::string, std::string>> due;
    for (auto& [task, run] : runs_) {
      const millis worked = run.resumed_ms + Now() - run.started_at;
      if (run.plan.checkpoints &&
          worked - run.saved_ms >= settings_.checkpoint_ms) {
        run.saved_ms = worked;
        run.saved = Checkpoint(task, worked);
      }
      if (Clock() >= lease_until_) {
        due.push_back({task, "lapsed"});
      } else if (run.plan.work_ms >= 0 && worked >= run.plan.work_ms) {
        due.push_back({task, run.plan.how});
      }
    }
    for (const auto& [task, how] : due) End(task, how);
  }

  static std::string Checkpoint(const std::string& task, millis worked) {
    char text[40];
    std::snprintf(text, sizeof(text), "%08llx%08zx",
                  static_cast<unsigned long long>(worked),
                  std::hash<std::string>{}(task)&0xffffffffu);
    return text;
  }

  void End(const std::string& task, const std::string& how) {
    const auto it = runs_.find(task);
    if (it == runs_.end()) return;
    const run_state run = it->second;
    runs_.erase(it);
    highest_[task] = std::max(highest_[task], run.number);
    ends_.push_back({next_end_++, task, run.number, how, run.saved});
    observer_.ended(settings_.id, task, run.number, how);
  }

  net::awaitable<reply> Serve(request call) {
    if (call.method == "GET") co_return reply{200};
    if (settings_.answer_ms > 0) co_await Sleep(settings_.answer_ms);
    const json::object body = ParseBody(call.body);
    const auto expected = call.headers.find("Expect-Instance");
    if (expected != call.headers.end() && expected->second != settings_.id) {
      co_return Answer(421, {});
    }
    if (call.path == "/run-start" || call.path == "/run-stop") {
      const int draw = static_cast<int>(random_() % 100);
      const bool late = draw < late_percent_;
      const int life = life_;
      if (late) co_await Sleep(late_ms_);
      if (late || draw < late_percent_ + unanswered_percent_) {
        // What a life had received ends with it.
        if (life == life_) static_cast<void>(Order(call.path, body));
        co_return reply{0, "", true};
      }
    }
    co_return co_await Obey(std::move(call), body);
  }

  reply Order(const std::string& path, const json::object& body) {
    const auto fence = static_cast<std::uint64_t>(NumberAt(body, "fence"));
    if (fence < fence_) return Answer(409, {{"reason", "fence"}});
    fence_ = fence;
    EndDueRuns();
    return path == "/run-start" ? StartRun(body) : StopRun(body);
  }

  net::awaitable<reply> Obey(request call, json::object body) {
    if (call.path == "/run-start" || call.path == "/run-stop") {
      co_return Order(call.path, body);
    }
    EndDueRuns();
    const auto fence = static_cast<std::uint64_t>(NumberAt(body, "fence"));
    if (fence < fence_) co_return Answer(409, {{"reason", "fence"}});
    fence_ = fence;
    if (call.path == "/pace") co_return Answer(200, {});
    if (call.path != "/hold") co_return Answer(404, {});
    Extend(NumberAt(body, "deadline-ms"));
    Forget(static_cast<std::uint64_t>(NumberAt(body, "ack-cursor")));
    const millis until =
        Now() + std::min<millis>(NumberAt(body, "wait-ms"), 2000);
    const int life = life_;
    while (ends_.empty() && Now() < until && life == life_) co_await Sleep(5);
    co_return life == life_ ? Answer(200, Listing()) : reply{0, "", true};
  }

  void Extend(millis deadline) {
    if (deadline <= 0) return;
    lease_until_ = std::max(
        lease_until_, std::min(deadline, Clock() + settings_.max_hold_ms));
  }

  void Forget(std::uint64_t cursor) {
    while (!ends_.empty() && ends_.front().number <= cursor) {
      const end_row& end = ends_.front();
      observer_.acknowledged(settings_.id, end.task, end.run, end.how);
      ends_.pop_front();
    }
  }

  json::object Listing() const {
    json::array running;
    for (const auto& [task, run] : runs_) {
      const millis worked = run.resumed_ms + Now() - run.started_at;
      const millis percent =
          run.plan.work_ms > 0
              ? std::min<millis>(100, worked * 100 / run.plan.work_ms)
              : std::min<millis>(100, worked);
      running.push_back(json::array{task, run.number, run.saved, percent, 500});
    }
    json::array ended;
    for (std::size_t i = 0; i < ends_.size() && i < 500; ++i) {
      const end_row& end = ends_[i];
      ended.push_back(
          json::array{end.number, end.task, end.run, end.how, end.saved});
    }
    return {{"running", std::move(running)}, {"ended", std::move(ended)}};
  }

  reply StartRun(const json::object& body) {
    const std::string task = TextAt(body, "task");
    const int number = static_cast<int>(NumberAt(body, "run"));
    const millis deadline = NumberAt(body, "deadline-ms");
    if (refusing_) return Answer(503, {});
    const auto running = runs_.find(task);
    if (running != runs_.end() && running->second.number == number) {
      Extend(deadline);
      return Answer(200, {});
    }
    if (running != runs_.end() ||
        (highest_.contains(task) && number <= highest_[task])) {
      Extend(deadline);
      return Answer(409, {{"reason", "old"}});
    }
    if (deadline <= Clock()) return Answer(409, {{"reason", "late"}});
    Extend(deadline);
    run_state run;
    run.number = number;
    run.plan = plan_(task, number);
    run.started_at = Now();
    run.saved = TextAt(body, "checkpoint");
    if (run.saved.size() >= 8) {
      run.resumed_ms =
          std::strtoll(run.saved.substr(0, 8).c_str(), nullptr, 16) -
          settings_.restore_ms;
      run.saved_ms = run.resumed_ms + settings_.restore_ms;
    }
    runs_[task] = run;
    observer_.started(settings_.id, task, number, body);
    return Answer(200, {});
  }

  reply StopRun(const json::object& body) {
    const std::string task = TextAt(body, "task");
    const int number = static_cast<int>(NumberAt(body, "run"));
    const auto running = runs_.find(task);
    if (running != runs_.end() && running->second.number <= number) {
      End(task, "stopped");
    }
    highest_[task] = std::max(highest_[task], number);
    return Answer(200, {});
  }

  reply Answer(int status, json::object body) const {
    body["clock-ms"] = Clock();
    body["born"] = born_unix_;
    return Json(body, status);
  }

  net::io_context& io_;
  store& registry_;
  record& log_;
  runner_settings settings_;
  std::string ip_;
  planner plan_;
  run_observer observer_;
  std::shared_ptr<bool> alive_;
  std::unique_ptr<http_server> server_;
  std::vector<std::unique_ptr<http_server>> retired_;
  millis born_unix_ = 0;
  millis born_ = 0;
  int life_ = 0;
  int sequence_ = 0;
  bool draining_ = false;
  bool refusing_ = false;
  int unanswered_percent_ = 0;
  int late_percent_ = 0;
  millis late_ms_ = 0;
  std::mt19937 random_{std::random_device{}()};
  std::uint64_t fence_ = 0;
  millis lease_until_ = 0;
  std::uint64_t next_end_ = 1;
  std::map<std::string, run_state> runs_;
  std::map<std::string, int> highest_;
  std::deque<end_row> ends_;
};

}  // namespace world
