#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>
#include <random>

#include "src/jobs/job_batch.h"
#include "tests/jobs/job_fixture.h"

namespace radishwing::jobs {
namespace {

using platform_fake::fault_mode;

struct faults_fixture : job_fixture {
  void InjectFault() {
    switch (random() % 8) {
      case 0:
        return Fault(fault_mode::kDown, 1 + random() % 3);
      case 1:
        return Fault(fault_mode::kLoseAnswers, 1 + random() % 3);
      case 2:
        return Fault(fault_mode::kSilent);
      case 3:  // A restart of the control process.
        manager = MakeManager("c1#" + std::to_string(++incarnation));
        return;
      case 4:
        if (fake->Tasks().All().empty()) return;
        return Fault(fault_mode::kLapseLease, 0,
                     fake->Tasks().All().rbegin()->first);
      default:
        return Fault(fault_mode::kNone);
    }
  }

  // Each job has a service of its own, by which it is found later.
  void SubmitNext() {
    const std::string service = "s" + std::to_string(statuses.size());
    statuses[service] = 0;  // Stays 0 if the process restarts first.
    manager->Handle({.verb = rpc::job_verb::kSubmit,
                     .service = service,
                     .team = "uva",
                     .body = R"({"run_ms":100})"},
                    [this, service](const rpc::job_answer& answer) {
                      statuses[service] = answer.status;
                    });
  }

  std::map<std::string, job_record> Recorded() {
    std::map<std::string, job_record> jobs;
    for (const auto& item : fake->Store().ReadPrefix("jobs/dc1/")) {
      const auto batch = ParseBatch("b", item.value, item.version);
      for (const auto& [number, job] : Value(batch).jobs) {
        BOOST_TEST(!jobs.contains(job.service));
        jobs[job.service] = job;
      }
    }
    return jobs;
  }

  std::mt19937 random{7};  // A fixed seed: each run is the same.
  int incarnation = 1;
  std::map<std::string, unsigned> statuses;
};

// Guards against a non-idempotent job that runs twice, against an accepted job
// that never runs, and against a "not run" that is not true, under lost
// answers, outages, silent connections and restarts.
BOOST_FIXTURE_TEST_CASE(job_manager_random_faults_run_each_job_once,
                        faults_fixture) {
  tokens = 1000000;  // Tokens of the restarted processes are not returned.
  known_hosts = {{"h1", "dc1", "r1", 16, 65536, 0}};
  for (int step = 0; step < 80; ++step) {
    InjectFault();
    SubmitNext();
    for (int i = 0; i < 40; ++i) {
      io.run_one_for(std::chrono::milliseconds(2));
    }
    time.Advance(static_cast<millis>(random() % 400));
  }
  Fault(fault_mode::kNone);
  int turns = 0;
  RunUntil([&] {
    time.Advance(10);
    // Reading the records after each handler would starve the handlers.
    if (++turns % 50 != 0) return false;
    const auto recorded = Recorded();
    return std::all_of(recorded.begin(), recorded.end(), [](const auto& item) {
      return HasEnded(item.second.state);
    });
  });
  std::map<std::string, int> ran;
  for (const auto& [id, task] : fake->Tasks().All()) ++ran[task.service];
  const auto recorded = Recorded();
  int accepted = 0;
  for (const auto& [service, status] : statuses) {
    BOOST_TEST(ran[service] <= 1, service << " ran more than once");
    if (status == 503) BOOST_TEST(ran[service] == 0, service << " ran");
    if (status != 202) continue;
    ++accepted;
    BOOST_TEST(ran[service] == 1, service << " did not run");
    BOOST_TEST(recorded.contains(service));
  }
  BOOST_TEST(accepted > 0);
}

}  // namespace
}  // namespace radishwing::jobs
