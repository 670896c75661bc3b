#include "review/deployment.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <stdexcept>

namespace review {
namespace json = boost::json;
using namespace radishwing;
using boost::beast::http::verb;
namespace {

constexpr millis kDeadlineMs = 3000;
constexpr millis kStepMs = 10;
constexpr const char* kHost = "press.example";
constexpr const char* kPrefix = "/press/";
constexpr const char* kKey = "key-of-the-tenant-1";

std::string Config() {
  return json::serialize(json::object{
      {"version", 3},
      {"routes", json::array{json::object{{"name", "press"},
                                          {"host", kHost},
                                          {"prefix", kPrefix},
                                          {"backend", "press"},
                                          {"priority", 0},
                                          {"attempts", 2},
                                          {"stretch", 1.6},
                                          {"target-latency-ms", 600}}}},
      {"services", json::array{json::object{{"name", "press"},
                                            {"enforces-capacity", false}}}},
      {"tenants",
       json::array{json::object{
           {"name", "tenant-1"},
           {"api-keys", json::array{kKey}},
           {"weight", 1},
           {"cap", json::object{{"cpu", 0}, {"mem-mb", 0}, {"gpu", 0}}}}}}});
}

}  // namespace

std::string JobBody(int count, int cpu, millis estimate_ms,
                    const std::string& requirements) {
  json::object step{{"count", count},
                    {"cpu", cpu},
                    {"mem-mb", 256},
                    {"estimate-ms", estimate_ms}};
  if (!requirements.empty()) step["requirements"] = requirements;
  return json::serialize(json::object{{"spec", "cpu=" + std::to_string(cpu)},
                                      {"steps", json::array{step}}});
}

std::string JobId(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "5c0e7a21d94b%04x",
                static_cast<unsigned>(number));
  return text;
}

deployment::deployment(const std::string& record_path, const std::string& net,
                       int nodes)
    : record(record_path), store(io, record), net_(net), nodes_(nodes) {
  auto made = http::server::Make(
      io, {}, [this](const http::server_request& request, auto respond) {
        ServeCloud(request, respond);
      });
  if (!Ok(made)) throw std::runtime_error(Error(made).message);
  cloud_ = std::move(Value(std::move(made)));
  for (int i = 1; i <= nodes; ++i) {
    for (const int port : {8340, 8343}) {
      http::client_options options;
      options.address =
          net + "." + std::to_string(i) + ":" + std::to_string(port);
      auto client = http::client::Make(io, options);
      if (!Ok(client)) throw std::runtime_error(Error(client).message);
      (port == 8340 ? fronts_ : probes_).push_back(std::move(Value(client)));
    }
  }
  store.Put("op/config", Config());
  // run.sh reads this line and starts the nodes.
  std::cout << "store " << store.Address() << " cloud " << cloud_->Address()
            << std::endl;
}

void deployment::AddRunner(const std::string& id, const runner_kind& kind,
                           millis run_ms) {
  runners.push_back(
      std::make_unique<runner>(io, store, record, runs, id, kind, run_ms));
}

void deployment::AddService(millis run_ms) {
  for (int i = 1; i <= 9; ++i) {
    runner_kind kind;
    kind.rack = "rack-" + std::to_string((i + 3) / 4);
    AddRunner("i-0000000" + std::to_string(i), kind, run_ms);
  }
}

std::vector<runner*> deployment::Rack(const std::string& rack) {
  std::vector<runner*> found;
  for (const auto& entry : runners) {
    if (entry->Kind().rack == rack) found.push_back(entry.get());
  }
  return found;
}

void deployment::ServeCloud(const http::server_request& request,
                            const http::server::responder& respond) {
  if (request.target.path != "/machines")
    return respond(
        http::MakeJsonResponse(409, json::object{{"reason", "busy"}}));
  json::array machines;
  for (const auto& entry : runners) {
    const runner_kind& kind = entry->Kind();
    machines.push_back(json::object{
        {"machine", "m-" + entry->Id()},
        {"pool", kind.pool},
        {"state", entry->IsUp() ? "up" : "down"},
        {"zone", kind.zone},
        {"labels", json::array{kind.label, kind.rack}},
        {"free-resources",
         json::object{{"cpu", kind.cpu}, {"mem-mb", kind.mem_mb}, {"gpu", 0}}},
        {"id", entry->Id()}});
  }
  respond(http::MakeJsonResponse(
      200, json::object{{"machines", std::move(machines)}}));
}

void deployment::RunFor(millis time) {
  io.restart();
  io.run_for(std::chrono::milliseconds(time));
}

bool deployment::RunUntil(millis limit, const std::function<bool()>& done) {
  const millis until = record.Now() + limit;
  while (!done()) {
    if (record.Now() >= until) return false;
    RunFor(kStepMs);
  }
  return true;
}

bool deployment::WaitUntilReady() {
  const millis until = record.Now() + 20000;
  std::vector<bool> ready(static_cast<std::size_t>(nodes_), false);
  while (record.Now() < until) {
    for (std::size_t i = 0; i < probes_.size(); ++i) {
      http::client_request request;
      request.target = "/readyz";
      probes_[i]->Send(request, [&ready, i](const auto& response) {
        ready[i] = Ok(response) && Value(response).status == 200;
      });
    }
    RunFor(300);
    if (std::ranges::all_of(ready, [](bool r) { return r; })) {
      RunFor(3000);  // A node has taken the lead by then.
      record.Write("all nodes are ready");
      return true;
    }
  }
  return false;
}

http::client& deployment::Front(int node) {
  return *fronts_[static_cast<std::size_t>(node % nodes_)];
}

void deployment::Send(verb method, const std::string& id, int node,
                      const std::string& body,
                      std::function<void(unsigned, const std::string&)> done) {
  http::client_request request;
  request.method = method;
  request.target = kPrefix + id;
  request.body = body;
  request.headers = {{"Host", kHost},
                     {"X-Api-Key", kKey},
                     {"Deadline-Ms", std::to_string(kDeadlineMs)},
                     {"Content-Type", "application/json"}};
  request.total_timeout_ms = kDeadlineMs;
  Front(node).Send(request,
                   [done](const result<http::client_response>& answer) {
                     if (!Ok(answer)) return done(0, "");
                     done(Value(answer).status, Value(answer).body);
                   });
}

void deployment::Submit(const std::string& id, int node,
                        const std::string& body, int attempts) {
  job_record& job = jobs[id];
  if (job.id.empty()) {
    job.id = id;
    job.sent_at = record.Now();
  }
  Send(verb::post, id, node, body,
       [this, id, node, body, attempts](unsigned status, const std::string&) {
         job_record& job = jobs[id];
         job.submit_statuses.push_back(status);
         record.Write("client: POST " + id + " at node " +
                      std::to_string(node % nodes_ + 1) + " -> " +
                      std::to_string(status));
         if (status >= 200 && status < 300) {
           job.accepted_at = record.Now();
         } else if (attempts > 1) {
           auto timer = std::make_shared<boost::asio::steady_timer>(
               io, std::chrono::milliseconds(400));
           timer->async_wait([this, timer, id, node, body,
                              attempts](boost::system::error_code error) {
             if (!error) Submit(id, node + 1, body, attempts - 1);
           });
         }
       });
}

void deployment::SubmitFor(millis time, const std::string& body,
                           millis interval) {
  const millis until = record.Now() + time;
  while (record.Now() < until) {
    const int number = next_job_++;
    Submit(JobId(number), number, body);
    RunFor(interval);
  }
}

void deployment::AskForStates() {
  ++ask_round_;
  for (const auto& [id, job] : jobs) {
    if (job.accepted_at < 0 || job.state == "succeeded") continue;
    Send(verb::get, id, ask_round_, "",
         [this, id = id](unsigned status, const std::string& body) {
           boost::system::error_code error;
           const json::value wire = json::parse(body, error);
           std::string state = "status " + std::to_string(status);
           if (status == 200 && !error && wire.is_object())
             state = std::string(wire.at("state").as_string());
           job_record& job = jobs[id];
           if (job.state == state) return;
           job.state = state;
           record.Write("client: GET " + id + " -> " + state);
         });
  }
}

bool deployment::AllSucceeded() const {
  return std::ranges::all_of(jobs, [](const auto& entry) {
    return entry.second.state == "succeeded";
  });
}

}  // namespace review
