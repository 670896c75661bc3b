#include "src/jobs/job_machine.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "src/jobs/job_fit.h"
#include "src/jobs/worker_health.h"

namespace radishwing::jobs {
namespace {

using platform::start_state;
using platform::task_state;

job_record Running(bool idempotent) {
  job_record job;
  job.id = "dc1.b-1";
  job.idempotent = idempotent;
  ApplyStarting(job, "h1");
  ApplyStarted(job, start_state::kStarted);
  return job;
}

// Guards against a non-idempotent job that runs twice.
BOOST_AUTO_TEST_CASE(job_machine_non_idempotent_never_starts_again) {
  job_record job = Running(false);
  ApplyTask(job, task_state::kLapsed, 3, false);
  BOOST_TEST((job.state == job_state::kUnknown));
  BOOST_TEST((NextAction(job) == job_action::kPoll));
  ApplyTask(job, task_state::kFinished, 3, false);
  BOOST_TEST((job.state == job_state::kFinished));
  for (const auto state : {task_state::kFailed, task_state::kStopped}) {
    job = Running(false);
    ApplyTask(job, state, 3, false);
    BOOST_TEST((job.state == job_state::kFailed));
    BOOST_TEST(job.attempt == 1u);
  }
  // An unresolved start keeps its task id, which the platform recognises.
  job = {};
  ApplyStarting(job, "h1");
  ApplyStarted(job, start_state::kUnknown);
  ApplyStarted(job, start_state::kNotDone);
  BOOST_TEST((job.state == job_state::kStarting));
  BOOST_TEST((NextAction(job) == job_action::kPoll));
  BOOST_TEST(job.attempt == 1u);
}

// Guards against a job that breaks one worker after another for ever, and
// against blaming a job for a worker that fails everything.
BOOST_AUTO_TEST_CASE(job_machine_failing_on_three_hosts_is_faulty) {
  job_record job = Running(true);
  for (const char* host : {"h1", "h1", "h2", "bad", "h3"}) {
    BOOST_TEST((NextAction(job) != job_action::kNone));
    ApplyStarting(job, host);
    ApplyStarted(job, start_state::kStarted);
    ApplyTask(job, task_state::kFailed, 3, host == std::string("bad"));
  }
  BOOST_TEST((job.state == job_state::kFaulty));
  BOOST_TEST(job.failed_on.size() == 3u);
  worker_health health;
  health.OnFailed("bad", "a", 0);
  health.OnFailed("bad", "b", 0);
  health.OnFailed("bad", "b", 0);
  BOOST_TEST(!health.AtFault("bad"));
  health.OnFailed("bad", "c", 0);
  BOOST_TEST(health.AtFault("bad"));
  BOOST_TEST(health.Avoid(0).size() == 1u);
  BOOST_TEST(health.Avoid(5000).empty());
}

// Guards against a job reported as cancelled while its task may run.
BOOST_AUTO_TEST_CASE(job_machine_cancel_waits_for_the_task) {
  job_record job;
  ApplyCancel(job);
  BOOST_TEST((job.state == job_state::kCancelled));
  job = {};
  job.in_doubt = true;  // Recovered: a task may have been started.
  ApplyCancel(job);
  BOOST_TEST((job.state == job_state::kAccepted));
  BOOST_TEST((NextAction(job) == job_action::kPoll));
  job_record other = job;
  ApplyNoTask(other);
  BOOST_TEST((other.state == job_state::kCancelled));
  ApplyTask(job, task_state::kRunning, 3, false);
  BOOST_TEST((NextAction(job) == job_action::kStop));
  ApplyTask(job, task_state::kStopped, 3, false);
  BOOST_TEST((job.state == job_state::kCancelled));
}

// Guards against accepting what can never run, and against a refusal that does
// not say what is missing.
BOOST_AUTO_TEST_CASE(job_fit_names_what_is_missing) {
  const std::vector<platform::host_info> hosts = {
      {"a", "dc1", "r1", 32, 1000, 0}, {"b", "dc1", "r1", 8, 1000, 4}};
  job_record job;
  job.accelerators = 9;
  BOOST_TEST(MissingFor(job, hosts) ==
             "accelerators: 9 needed, at most 4 on one host");
  job.accelerators = 4;
  BOOST_TEST(MissingFor(job, hosts).empty());
  job.cores = 16;
  BOOST_TEST(MissingFor(job, hosts).find("together") != std::string::npos);
}

}  // namespace
}  // namespace radishwing::jobs
