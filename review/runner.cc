#include "review/runner.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace review {
namespace json = boost::json;
using namespace radishwing;
namespace {

constexpr millis kHeartbeatMs = 1500;
constexpr millis kMaxHoldMs = 6000;
constexpr std::chrono::milliseconds kTick{5};

std::int64_t NumberAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value ? value->to_number<std::int64_t>() : 0;
}

/// The specs of the stand-in clients name the processor share of a task.
int CpuOfSpec(std::string_view spec) {
  const std::size_t at = spec.find("cpu=");
  return at == std::string_view::npos
             ? 0
             : std::atoi(std::string(spec.substr(at + 4)).c_str());
}

http::server_response Silence() {
  http::server_response response;
  response.action = http::response_action::kNeverRespond;
  return response;
}

}  // namespace

runner::runner(boost::asio::io_context& io, store& entries, recorder& record,
               run_log& log, std::string id, runner_kind kind, millis run_ms)
    : io_(io),
      entries_(entries),
      record_(record),
      log_(log),
      id_(std::move(id)),
      kind_(std::move(kind)),
      run_ms_(run_ms),
      beat_timer_(io),
      end_timer_(io) {
  born_at_ = clock_.Now();
  born_unix_ms_ = radishwing::clock::Wall().Now();
  Listen();
  Heartbeat();
  EndDueRuns();
}

void runner::Listen() {
  auto made = http::server::Make(
      io_, {}, [this](const http::server_request& request, auto respond) {
        Serve(request, std::move(respond));
      });
  if (!Ok(made)) throw std::runtime_error(Error(made).message);
  server_ = std::move(Value(std::move(made)));
}

int runner::RunningCpu() const {
  int cpu = 0;
  for (const auto& [task, run] : running_) cpu += run.cpu;
  return cpu;
}

bool runner::Runs(const std::string& job) const {
  return std::ranges::any_of(running_, [&](const auto& entry) {
    return entry.first.starts_with(job + ".");
  });
}

void runner::Heartbeat() {
  if (up_) {
    entries_.Put("servers/" + id_,
                 json::serialize(json::object{
                     {"backend", kind_.pool},
                     {"address", server_->Address()},
                     {"zone", kind_.zone},
                     {"version", "1"},
                     {"capacity", 8},
                     {"state", "ready"},
                     {"cold-ms", 0},
                     {"seq", ++seq_},
                     {"born", born_unix_ms_},
                     {"free-resources", json::object{{"cpu", kind_.cpu},
                                                     {"mem-mb", kind_.mem_mb},
                                                     {"gpu", 0}}},
                     {"labels", json::array{kind_.label, kind_.rack}}}));
  }
  beat_timer_.expires_after(std::chrono::milliseconds(kHeartbeatMs));
  beat_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Heartbeat();
  });
}

void runner::LosePower() {
  record_.Write("runner " + id_ + ": loses power, " +
                std::to_string(running_.size()) + " tasks end with it");
  up_ = false;
  ++life_;
  silent_through_ = server_->LastConnectionId();
  for (const auto& [task, run] : running_) {
    log_[run.log_index].ended_at = record_.Now();
    log_[run.log_index].how = "lost";
  }
  running_.clear();
  ended_.clear();
}

void runner::StartAgain(bool new_address, const runner_kind& kind) {
  up_ = true;
  ++life_;
  kind_ = kind;
  if (new_address) {
    old_servers_.push_back(std::move(server_));
    Listen();
    silent_through_ = 0;
  } else {
    silent_through_ = server_->LastConnectionId();
  }
  born_at_ = clock_.Now();
  born_unix_ms_ = radishwing::clock::Wall().Now();
  fence_ = 0;
  lease_until_ = 0;
  highest_over_.clear();
  next_end_ = 1;
  seq_ = 0;
  record_.Write("runner " + id_ + ": starts again at " + server_->Address());
  beat_timer_.cancel();
  Heartbeat();
}

void runner::EndDueRuns() {
  const millis now = Clock();
  if (up_ && now >= lease_until_) lapsed_at_ = record_.Now();
  std::vector<std::pair<std::string, std::string>> due;
  for (const auto& [task, run] : running_) {
    if (now >= run.ends_at)
      due.push_back({task, run.stopping ? "stopped" : "done"});
  }
  for (const auto& [task, how] : due) EndRun(task, how);
  if (!running_.empty() && now >= lease_until_) {
    const auto rest = running_;
    for (const auto& [task, run] : rest) EndRun(task, "lapsed");
  }
  end_timer_.expires_after(kTick);
  end_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) EndDueRuns();
  });
}

void runner::EndRun(const std::string& task, const std::string& how) {
  const auto it = running_.find(task);
  const active_run run = it->second;
  running_.erase(it);
  highest_over_[task] = std::max(highest_over_[task], run.run);
  log_[run.log_index].ended_at = record_.Now();
  log_[run.log_index].how = how;
  ended_.push_back({next_end_++, task, run.run, how, run.log_index});
  record_.Write("runner " + id_ + ": end " + std::to_string(next_end_ - 1) +
                ", task " + task + " run " + std::to_string(run.run) + " " +
                how);
}

json::object runner::Listing() const {
  json::array running;
  for (const auto& [task, run] : running_) {
    const millis percent =
        std::clamp<millis>((Clock() - run.started_at) * 100 / run_ms_, 0, 99);
    running.push_back(json::array{task, run.run, "", percent, run.cpu});
  }
  json::array ended;
  for (const ended_run& end : ended_) {
    if (ended.size() == 500) break;
    ended.push_back(json::array{end.number, end.task, end.run, end.how, ""});
  }
  return {{"clock-ms", Clock()},
          {"born", born_unix_ms_},
          {"running", std::move(running)},
          {"ended", std::move(ended)}};
}

void runner::Refuse(const http::server::responder& respond,
                    const char* reason) const {
  respond(http::MakeJsonResponse(
      409, json::object{{"clock-ms", Clock()}, {"reason", reason}}));
}

void runner::ExtendLease(const json::object& body) {
  const millis deadline = NumberAt(body, "deadline-ms");
  if (deadline == 0) return;
  lease_until_ =
      std::max(lease_until_, std::min(deadline, Clock() + kMaxHoldMs));
}

void runner::Serve(const http::server_request& request,
                   http::server::responder respond) {
  // While the power is off, and on connections of an earlier life, nothing is
  // read or answered.
  if (!up_ || request.connection_id <= silent_through_)
    return respond(Silence());
  const std::string_view expected = request.HeaderValue("Expect-Instance");
  if (!expected.empty() && expected != id_)
    return respond(http::MakeErrorResponse(421, "instance", id_));
  const json::object body = json::parse(request.body).as_object();
  const auto fence = static_cast<std::uint64_t>(NumberAt(body, "fence"));
  if (fence < fence_) return Refuse(respond, "fence");
  fence_ = fence;
  if (request.target.path == "/hold") return Hold(body, std::move(respond));
  if (request.target.path == "/run-start") return StartRun(body, respond);
  if (request.target.path == "/run-stop") return StopRun(body, respond);
  respond(http::MakeJsonResponse(200, json::object{{"clock-ms", Clock()}}));
}

void runner::Hold(const json::object& body, http::server::responder respond) {
  ExtendLease(body);
  const auto cursor = static_cast<std::uint64_t>(NumberAt(body, "ack-cursor"));
  for (const ended_run& end : ended_) {
    if (end.number > cursor) continue;
    run_record& run = log_[end.log_index];
    if (lapsed_at_ < run.ended_at) run.noted_at = record_.Now();
    record_.Write("runner " + id_ + ": ack-cursor " + std::to_string(cursor) +
                  " reaches end " + std::to_string(end.number) + ", task " +
                  end.task + " run " + std::to_string(end.run) + " " + end.how);
  }
  std::erase_if(ended_,
                [&](const ended_run& end) { return end.number <= cursor; });
  const millis until = Clock() + NumberAt(body, "wait-ms");
  auto timer = std::make_shared<boost::asio::steady_timer>(io_);
  auto check = std::make_shared<std::function<void()>>();
  *check = [this, timer, check, until, life = life_,
            respond = std::move(respond)] {
    if (life != life_) {  // The power was lost: the connection goes silent.
      *check = nullptr;
      return;
    }
    if (ended_.empty() && Clock() < until) {
      timer->expires_after(kTick);
      timer->async_wait([check](boost::system::error_code error) {
        if (!error && *check) {
          const auto again = *check;
          again();
        }
      });
      return;
    }
    respond(http::MakeJsonResponse(200, Listing()));
    *check = nullptr;
  };
  const auto first = *check;
  first();
}

void runner::StartRun(const json::object& body,
                      const http::server::responder& respond) {
  const std::string task(body.at("task").as_string());
  const int number = static_cast<int>(NumberAt(body, "run"));
  const auto accept = [&] {
    respond(http::MakeJsonResponse(200, json::object{{"clock-ms", Clock()}}));
  };
  const auto current = running_.find(task);
  if (current != running_.end() && current->second.run == number) {
    ExtendLease(body);
    return accept();
  }
  if (current != running_.end() ||
      (highest_over_.contains(task) && number <= highest_over_[task])) {
    ExtendLease(body);
    return Refuse(respond, "old");
  }
  if (NumberAt(body, "deadline-ms") <= Clock()) return Refuse(respond, "late");
  ExtendLease(body);
  active_run run;
  run.run = number;
  run.cpu = CpuOfSpec(body.at("spec").as_string());
  run.started_at = Clock();
  run.ends_at = Clock() + run_ms_;
  run.log_index = log_.size();
  log_.push_back({.task = task,
                  .run = number,
                  .runner = id_,
                  .started_at = record_.Now(),
                  .how = {}});
  running_[task] = run;
  record_.Write("runner " + id_ + ": start of task " + task + " run " +
                std::to_string(number));
  accept();
}

void runner::StopRun(const json::object& body,
                     const http::server::responder& respond) {
  const std::string task(body.at("task").as_string());
  const int number = static_cast<int>(NumberAt(body, "run"));
  const auto current = running_.find(task);
  if (current != running_.end() && current->second.run <= number) {
    current->second.stopping = true;
    current->second.ends_at = std::min(current->second.ends_at, Clock() + 50);
  } else {
    highest_over_[task] = std::max(highest_over_[task], number);
  }
  record_.Write("runner " + id_ + ": stop of task " + task + " run " +
                std::to_string(number));
  respond(http::MakeJsonResponse(200, json::object{{"clock-ms", Clock()}}));
}

}  // namespace review
