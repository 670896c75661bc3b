#include "tools/fleet_fake/fake_runner.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "tools/fleet_fake/poll_until.h"

namespace radishwing::fleet_fake {
namespace json = boost::json;
namespace {

std::int64_t NumberField(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value ? value->to_number<std::int64_t>() : 0;
}

}  // namespace

fake_runner::fake_runner(boost::asio::io_context& io, fake_store& store,
                         run_recorder& recorder, std::string id,
                         std::string pool, millis run_duration_ms)
    : io_(io),
      recorder_(recorder),
      id_(std::move(id)),
      run_duration_ms_(run_duration_ms),
      start_time_(clock_.Now()) {
  auto made = http::server::Make(
      io, {}, [this](const http::server_request& request, auto respond) {
        ServeRequest(request, std::move(respond));
      });
  if (!Ok(made)) throw std::runtime_error(Error(made).message);
  server_ = std::move(Value(std::move(made)));
  store.Put("servers/" + id_,
            json::serialize(json::object{
                {"backend", pool},
                {"address", server_->Address()},
                {"zone", "z"},
                {"state", "ready"},
                {"free-resources",
                 json::object{{"cpu", 8000}, {"mem-mb", 8000}, {"gpu", 0}}},
                {"labels", json::array{"a", "r1"}},
                {"seq", 1}}));
}

void fake_runner::EndRun(const std::string& task, const std::string& outcome) {
  const auto it = active_runs_.find(task);
  if (it == active_runs_.end()) return;
  recorder_.RecordEnd(task, outcome == "done");
  highest_ended_run_[task] =
      std::max(highest_ended_run_[task], it->second.run_number);
  unacknowledged_ends_.push_back(
      {next_end_sequence_++, task, it->second.run_number, outcome});
  active_runs_.erase(it);
}

void fake_runner::EndDueRuns() {
  const millis now = clock_.Now();
  std::vector<std::string> completed;
  for (const auto& [task, run] : active_runs_) {
    if (now >= run.ends_at) completed.push_back(task);
  }
  for (const std::string& task : completed) EndRun(task, "done");
  if (now - start_time_ < lease_expiry_) return;
  std::vector<std::string> lease_expired;
  for (const auto& [task, run] : active_runs_) lease_expired.push_back(task);
  for (const std::string& task : lease_expired) EndRun(task, "lapsed");
}

json::object fake_runner::EncodeListing() {
  json::array running;
  const millis now = clock_.Now();
  for (const auto& [task, run] : active_runs_) {
    const millis percent = (now - run.started_at) * 100 / run_duration_ms_;
    running.push_back(json::array{task, run.run_number, "", percent, 0});
  }
  json::array ends;
  for (const ended_run& end : unacknowledged_ends_) {
    ends.push_back(
        json::array{end.sequence, end.task, end.run_number, end.outcome, ""});
  }
  return {{"clock-ms", now - start_time_},
          {"born", 1},
          {"running", std::move(running)},
          {"ended", std::move(ends)}};
}

void fake_runner::RejectOrder(const http::server::responder& respond,
                              const char* reason) {
  respond(http::MakeJsonResponse(
      409, json::object{{"clock-ms", clock_.Now() - start_time_},
                        {"reason", reason}}));
}

void fake_runner::ServeRequest(const http::server_request& request,
                               http::server::responder respond) {
  if (unresponsive_) {
    http::server_response no_response;
    no_response.action = http::response_action::kNeverRespond;
    return respond(std::move(no_response));
  }
  EndDueRuns();
  const json::object body = json::parse(request.body).as_object();
  const auto fencing_token =
      static_cast<std::uint64_t>(NumberField(body, "fence"));
  if (fencing_token < fencing_token_) return RejectOrder(respond, "fence");
  fencing_token_ = fencing_token;
  lease_expiry_ =
      std::max<millis>(lease_expiry_, NumberField(body, "deadline-ms"));
  if (request.target.path == "/run-start") return StartRun(body, respond);
  if (request.target.path == "/hold")
    return SendListing(body, std::move(respond));
  const std::string task(body.at("task").as_string());
  highest_ended_run_[task] = std::max(
      highest_ended_run_[task], static_cast<int>(NumberField(body, "run")));
  EndRun(task, "stopped");
  respond(http::MakeJsonResponse(
      200, json::object{{"clock-ms", clock_.Now() - start_time_}}));
}

void fake_runner::StartRun(const json::object& body,
                           const http::server::responder& respond) {
  const std::string task(body.at("task").as_string());
  const int number = static_cast<int>(NumberField(body, "run"));
  const auto current = active_runs_.find(task);
  const bool already_running =
      current != active_runs_.end() && current->second.run_number == number;
  if (!already_running) {
    if (highest_ended_run_.contains(task) &&
        number <= highest_ended_run_[task]) {
      return RejectOrder(respond, "old");
    }
    if (clock_.Now() - start_time_ >= NumberField(body, "deadline-ms")) {
      return RejectOrder(respond, "late");
    }
    recorder_.RecordStart(task);
    active_runs_[task] = {number, clock_.Now() + run_duration_ms_,
                          clock_.Now()};
  }
  http::server_response response = http::MakeJsonResponse(
      200, json::object{{"clock-ms", clock_.Now() - start_time_}});
  if (start_responses_to_drop_ > 0) {
    --start_responses_to_drop_;
    response.action = http::response_action::kCloseConnection;
  }
  respond(std::move(response));
}

void fake_runner::SendListing(const json::object& body,
                              http::server::responder respond) {
  ++poll_count_;
  const auto cursor =
      static_cast<std::uint64_t>(NumberField(body, "ack-cursor"));
  std::erase_if(unacknowledged_ends_,
                [&](const ended_run& end) { return end.sequence <= cursor; });
  const millis until = clock_.Now() + NumberField(body, "wait-ms");
  PollUntil(io_, [this, until, respond = std::move(respond)] {
    EndDueRuns();
    if (unacknowledged_ends_.empty() && clock_.Now() < until) return false;
    respond(http::MakeJsonResponse(200, EncodeListing()));
    return true;
  });
}

}  // namespace radishwing::fleet_fake
