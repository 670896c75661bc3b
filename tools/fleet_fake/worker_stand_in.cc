#include "tools/fleet_fake/worker_stand_in.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "tools/fleet_fake/poll_until.h"

namespace radishwing::fleet_fake {
namespace json = boost::json;
namespace {

std::int64_t Number(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value ? value->to_number<std::int64_t>() : 0;
}

}  // namespace

worker_stand_in::worker_stand_in(boost::asio::io_context& io,
                                 store_stand_in& store, run_ledger& ledger,
                                 std::string id, std::string pool,
                                 millis run_ms)
    : io_(io),
      ledger_(ledger),
      id_(std::move(id)),
      run_ms_(run_ms),
      started_at_(now_.Now()) {
  auto made = http::server::Make(
      io, {}, [this](const http::server_request& request, auto respond) {
        Handle(request, std::move(respond));
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

void worker_stand_in::End(const std::string& task, const std::string& how) {
  const auto it = running_.find(task);
  if (it == running_.end()) return;
  ledger_.Ended(task, how == "done");
  highest_ended_[task] = std::max(highest_ended_[task], it->second.number);
  ended_.push_back({next_end_++, task, it->second.number, how});
  running_.erase(it);
}

void worker_stand_in::Advance() {
  const millis now = now_.Now();
  std::vector<std::string> finished;
  for (const auto& [task, run] : running_) {
    if (now >= run.ends_at) finished.push_back(task);
  }
  for (const std::string& task : finished) End(task, "done");
  if (now - started_at_ < lease_until_) return;
  std::vector<std::string> lapsed;
  for (const auto& [task, run] : running_) lapsed.push_back(task);
  for (const std::string& task : lapsed) End(task, "lapsed");
}

json::object worker_stand_in::Listing() {
  json::array running;
  const millis now = now_.Now();
  for (const auto& [task, run] : running_) {
    const millis percent = (now - run.began_at) * 100 / run_ms_;
    running.push_back(json::array{task, run.number, "", percent, 0});
  }
  json::array ends;
  for (const ended& end : ended_) {
    ends.push_back(json::array{end.number, end.task, end.run, end.how, ""});
  }
  return {{"clock-ms", now - started_at_},
          {"born", 1},
          {"running", std::move(running)},
          {"ended", std::move(ends)}};
}

void worker_stand_in::Refuse(const http::server::responder& respond,
                             const char* reason) {
  respond(http::JsonResponse(
      409, json::object{{"clock-ms", now_.Now() - started_at_},
                        {"reason", reason}}));
}

void worker_stand_in::Handle(const http::server_request& request,
                             http::server::responder respond) {
  if (silent_) {
    http::server_response nothing;
    nothing.disposition = http::disposition::kSilent;
    return respond(std::move(nothing));
  }
  Advance();
  const json::object body = json::parse(request.body).as_object();
  const auto fence = static_cast<std::uint64_t>(Number(body, "fence"));
  if (fence < fence_) return Refuse(respond, "fence");
  fence_ = fence;
  lease_until_ = std::max<millis>(lease_until_, Number(body, "deadline-ms"));
  if (request.target.path == "/run-start") return Start(body, respond);
  if (request.target.path == "/hold") return Hold(body, std::move(respond));
  const std::string task(body.at("task").as_string());
  highest_ended_[task] =
      std::max(highest_ended_[task], static_cast<int>(Number(body, "run")));
  End(task, "stopped");
  respond(http::JsonResponse(
      200, json::object{{"clock-ms", now_.Now() - started_at_}}));
}

void worker_stand_in::Start(const json::object& body,
                            const http::server::responder& respond) {
  const std::string task(body.at("task").as_string());
  const int number = static_cast<int>(Number(body, "run"));
  const auto present = running_.find(task);
  const bool same =
      present != running_.end() && present->second.number == number;
  if (!same) {
    if (highest_ended_.contains(task) && number <= highest_ended_[task]) {
      return Refuse(respond, "old");
    }
    if (now_.Now() - started_at_ >= Number(body, "deadline-ms")) {
      return Refuse(respond, "late");
    }
    ledger_.Started(task);
    running_[task] = {number, now_.Now() + run_ms_, now_.Now()};
  }
  http::server_response response = http::JsonResponse(
      200, json::object{{"clock-ms", now_.Now() - started_at_}});
  if (lost_answers_ > 0) {
    --lost_answers_;
    response.disposition = http::disposition::kClose;
  }
  respond(std::move(response));
}

void worker_stand_in::Hold(const json::object& body,
                           http::server::responder respond) {
  const auto cursor = static_cast<std::uint64_t>(Number(body, "ack-cursor"));
  std::erase_if(ended_, [&](const ended& end) { return end.number <= cursor; });
  const millis until = now_.Now() + Number(body, "wait-ms");
  PollUntil(io_, [this, until, respond = std::move(respond)] {
    Advance();
    if (ended_.empty() && now_.Now() < until) return false;
    respond(http::JsonResponse(200, Listing()));
    return true;
  });
}

}  // namespace radishwing::fleet_fake
