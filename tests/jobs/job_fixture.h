#pragma once

#include <algorithm>
#include <boost/json/parse.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/jobs/job_fit.h"
#include "src/jobs/job_manager.h"
#include "tests/platform/platform_fixture.h"

namespace radishwing::jobs {

/// Job managers of control processes on one fake platform. The manager's time
/// and the fake's stand still unless the test advances them.
struct job_fixture : platform::platform_fixture {
  job_fixture() {
    known_hosts = {{"h1", "dc1", "r1", 16, 65536, 0},
                   {"h2", "dc1", "r2", 16, 65536, 0}};
    manager = MakeManager("c1#1");
  }

  std::unique_ptr<job_manager> MakeManager(const std::string& owner) {
    job_options options;
    options.data_centre = "dc1";
    options.owner = owner;
    options.clock = time.View();
    options.tick_ms = 2;
    options.write_ms = 0;
    options.settle_ms = 0;
    options.retry_ms = 0;
    options.poll_least_ms = 0;
    job_hooks hooks;
    hooks.hosts = [this] { return known_hosts; };
    hooks.choose_host =
        [this](
            const job_record& job,
            std::span<const std::string> avoid) -> std::optional<std::string> {
      for (const auto& host : known_hosts) {
        if (Fits(job, host) &&
            std::find(avoid.begin(), avoid.end(), host.host) == avoid.end()) {
          return host.host;
        }
      }
      return std::nullopt;
    };
    hooks.acquire_token = [this](const std::string&,
                                 const std::function<void(bool)>& completion) {
      const bool granted = tokens > 0;
      if (granted) --tokens;
      completion(granted);
    };
    hooks.release_token = [this](const std::string&) { ++tokens; };
    return std::make_unique<job_manager>(io, *store, *tasks, options, hooks);
  }

  rpc::job_answer Ask(rpc::job_request request) {
    request.team = "uva";
    return Await<rpc::job_answer>(
        [&](auto done) { manager->Handle(std::move(request), done); });
  }

  /// Submits a job and returns its id.
  std::string Submit(std::string body = "", bool idempotent = false) {
    const auto answer = Ask({.verb = rpc::job_verb::kSubmit,
                             .service = "s",
                             .idempotent = idempotent,
                             .body = std::move(body),
                             .cores = 1});
    if (answer.status != 202) throw std::runtime_error(answer.body);
    return std::string(boost::json::parse(answer.body).at("id").as_string());
  }

  std::string StateOf(const std::string& id) {
    const auto answer = Ask({.verb = rpc::job_verb::kState, .job_id = id});
    if (answer.status != 200) return std::to_string(answer.status);
    return std::string(boost::json::parse(answer.body).at("state").as_string());
  }

  void AwaitState(const std::string& id, const std::string& state) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (StateOf(id) != state) {
      if (std::chrono::steady_clock::now() > end) {
        throw std::runtime_error("job is " + StateOf(id) + ", not " + state);
      }
      io.run_one_for(std::chrono::milliseconds(10));
    }
  }

  std::vector<platform::host_info> known_hosts;
  int tokens = 10;
  std::unique_ptr<job_manager> manager;
};

}  // namespace radishwing::jobs
