#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "bench/bench_case.h"
#include "src/jobs/job_manager.h"
#include "src/platform/change_id.h"
#include "src/platform/http_kv_store.h"
#include "src/platform/http_task_client.h"
#include "tools/platform_fake/platform_fake.h"

namespace radishwing::bench {
namespace {

using std::chrono::steady_clock;

// Jobs of one run are submitted evenly over this time and run for kTaskMs.
constexpr millis kSubmitMs = 3000;
constexpr millis kTaskMs = 200;

/// A fake platform and its adapters on one thread.
struct bench_platform {
  bench_platform() {
    platform_fake::fake_options options;
    options.hosts = {{"h1", "dc1", "r1"}};
    options.task_ms = kTaskMs;
    options.reads_per_s = 0;
    options.writes_per_s = 0;
    fake = Value(platform_fake::platform_fake::Make(io, options));
    platform::platform_options link_options;
    link_options.address = fake->Address();
    auto link = Value(platform::platform_link::Make(io, link_options));
    store = std::make_unique<platform::http_kv_store>(link);
    tasks = std::make_unique<platform::http_task_client>(link);
  }

  std::uint64_t StoreCalls() const {
    std::uint64_t calls = 0;
    for (const char* kind : {"kv_read", "kv_prefix", "kv_write", "kv_delete"}) {
      calls += fake->Calls(kind);
    }
    return calls;
  }

  /// Calls `submit` `jobs` times, evenly spread, then runs until `finished`.
  template <typename Submit, typename Finished>
  void Run(int jobs, Submit submit, Finished finished) {
    const auto start = steady_clock::now();
    int sent = 0;
    while (sent < jobs || !finished()) {
      const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                          steady_clock::now() - start)
                          .count();
      while (sent < jobs && ms * jobs >= sent * kSubmitMs) {
        submit();
        ++sent;
      }
      io.restart();
      io.run_one_for(std::chrono::milliseconds(1));
    }
  }

  boost::asio::io_context io{1};
  std::unique_ptr<platform_fake::platform_fake> fake;
  std::unique_ptr<platform::http_kv_store> store;
  std::unique_ptr<platform::http_task_client> tasks;
};

std::unique_ptr<jobs::job_manager> MakeManager(bench_platform& p) {
  jobs::job_options options;
  options.data_centre = "dc1";
  options.owner = "c1#1";
  jobs::job_hooks hooks;
  hooks.hosts = [] {
    return std::vector<platform::host_info>{
        {"h1", "dc1", "r1", 16, 65536, 0, platform::host_state::kUp}};
  };
  hooks.choose_host = [](const jobs::job_record&,
                         std::span<const std::string>) {
    return std::optional<std::string>("h1");
  };
  hooks.acquire_token = [](const std::string&,
                           const std::function<void(bool)>& completion) {
    completion(true);
  };
  hooks.release_token = [](const std::string&) {};
  return std::make_unique<jobs::job_manager>(p.io, *p.store, *p.tasks, options,
                                             hooks);
}

void RunBatched(int jobs, std::vector<figure>& figures) {
  bench_platform p;
  auto manager = MakeManager(p);
  std::vector<double> waits;
  int refused = 0;
  p.Run(
      jobs,
      [&] {
        const auto sent = steady_clock::now();
        manager->Handle(
            {.verb = rpc::job_verb::kSubmit, .team = "a"},
            [&, sent](const rpc::job_answer& answer) {
              if (answer.status != 202) ++refused;
              waits.push_back(std::chrono::duration<double, std::milli>(
                                  steady_clock::now() - sent)
                                  .count());
            });
      },
      [&] {
        return static_cast<int>(waits.size()) == jobs &&
               manager->RunningByTeam().empty() &&
               p.fake->Tasks().Running() == 0;
      });
  std::sort(waits.begin(), waits.end());
  const std::string prefix = "batched, " + std::to_string(jobs) + " jobs, ";
  const auto per_job = [jobs](auto count) {
    return static_cast<double>(count) / jobs;
  };
  figures.push_back(
      {prefix + "store calls a job", per_job(p.StoreCalls()), ""});
  figures.push_back(
      {prefix + "store writes a job", per_job(p.fake->Calls("kv_write")), ""});
  figures.push_back(
      {prefix + "task calls a job",
       per_job(p.fake->Calls("task_write") + p.fake->Calls("task_read")), ""});
  figures.push_back(
      {prefix + "acceptance, median", waits[waits.size() / 2], "ms"});
  figures.push_back({prefix + "acceptance, 99th percentile",
                     waits[waits.size() * 99 / 100], "ms"});
  figures.push_back({prefix + "refused", static_cast<double>(refused), ""});
}

// The baseline: a value for each job, written when it is accepted, started and
// ended.
void RunOneValuePerJob(int jobs, std::vector<figure>& figures) {
  bench_platform p;
  int ended = 0;
  int number = 0;
  const auto write = [&](auto&& self, const std::string& key,
                         std::uint64_t version, int left) -> void {
    p.store->Swap({key, version,
                   "{\"change_id\":\"" + platform::NewChangeId() + "\"}", ""},
                  [&, self, key, left](const platform::swap_outcome& outcome) {
                    if (left == 1) {
                      ++ended;
                    } else {
                      self(self, key, outcome.version, left - 1);
                    }
                  });
  };
  p.Run(
      jobs, [&] { write(write, "jobs/dc1/" + std::to_string(number++), 0, 3); },
      [&] { return ended == jobs; });
  figures.push_back(
      {"one value a job, " + std::to_string(jobs) + " jobs, store calls a job",
       static_cast<double>(p.StoreCalls()) / jobs, ""});
}

std::vector<figure> Run(std::uint64_t) {
  std::vector<figure> figures;
  for (const int jobs : {30, 300, 3000}) {
    RunOneValuePerJob(jobs, figures);
    RunBatched(jobs, figures);
  }
  return figures;
}

const registration kRegistration(
    {"jobs_store_calls",
     "30, 300 and 3,000 jobs against the platform fake, batched and with one "
     "value a job",
     Run});

}  // namespace
}  // namespace radishwing::bench
