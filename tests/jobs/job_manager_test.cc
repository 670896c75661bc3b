#include "src/jobs/job_manager.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "src/jobs/job_batch.h"
#include "tests/jobs/job_fixture.h"

namespace radishwing::jobs {
namespace {

using platform_fake::fault_mode;

// Guards against one store write for each job, and against an answer before
// the job is recorded.
BOOST_FIXTURE_TEST_CASE(job_manager_many_jobs_share_a_write, job_fixture) {
  int accepted = 0;
  for (int i = 0; i < 50; ++i) {
    manager->Handle({.verb = rpc::job_verb::kSubmit, .team = "uva"},
                    [&](const rpc::job_answer& answer) {
                      if (answer.status == 202) ++accepted;
                    });
  }
  BOOST_TEST(accepted == 0);
  RunUntil([&] { return accepted == 50; });
  // The manager's own recovery reads once; nothing else was written before.
  BOOST_TEST(fake->Calls("kv_write") <= 2u);
  const auto page = fake->Store().ReadPrefix("jobs/dc1/");
  std::size_t recorded = 0;
  for (const auto& item : page) {
    recorded += Value(ParseBatch("b", item.value, 1)).jobs.size();
  }
  BOOST_TEST(recorded == 50u);
}

// Guards against "not run" for a job that runs later, and against a lost
// answer that turns into a refusal.
BOOST_FIXTURE_TEST_CASE(job_manager_store_faults_never_lie, job_fixture) {
  Fault(fault_mode::kDown);
  const auto refused = Ask({.verb = rpc::job_verb::kSubmit});
  BOOST_TEST(refused.status == 503u);
  Fault(fault_mode::kLoseAnswers, 1);
  const std::string id = Submit();
  Fault(fault_mode::kNone);
  AwaitState(id, "running");
  time.Advance(1000);
  AwaitState(id, "finished");
  // The write is lost on its way; the answer is due before that is known.
  std::optional<rpc::job_answer> answer;
  manager->Handle({.verb = rpc::job_verb::kSubmit, .team = "uva"},
                  [&](rpc::job_answer a) { answer = std::move(a); });
  fake->SetFault({fault_mode::kSlow, 100000, 0, ""});
  const auto writes = fake->Calls("kv_write");
  RunUntil([&] { return fake->Calls("kv_write") > writes; });
  time.Advance(1500);
  RunUntil([&] { return answer.has_value(); });
  BOOST_TEST(answer->status == 504u);
  // A submission that was not part of a write is certain not to run.
  answer.reset();
  manager->Handle({.verb = rpc::job_verb::kSubmit, .team = "uva"},
                  [&](rpc::job_answer a) { answer = std::move(a); });
  time.Advance(1500);
  RunUntil([&] { return answer.has_value(); });
  BOOST_TEST(answer->status == 503u);
}

// Guards against a lapsed lease that starts a non-idempotent job again, or
// that keeps an idempotent one from running elsewhere.
BOOST_FIXTURE_TEST_CASE(job_manager_lapsed_lease, job_fixture) {
  const std::string once = Submit(R"({"run_ms":1000,"result":"r1"})");
  AwaitState(once, "running");
  Fault(fault_mode::kLapseLease, 0, once + "-1");
  AwaitState(once, "unknown");
  BOOST_TEST(fake->Tasks().Find(once + "-2") == nullptr);
  time.Advance(1000);
  AwaitState(once, "finished");
  const auto result = Ask({.verb = rpc::job_verb::kResult, .job_id = once});
  BOOST_TEST(result.body == "r1");
  const std::string often = Submit(R"({"run_ms":1000})", true);
  AwaitState(often, "running");
  Fault(fault_mode::kLapseLease, 0, often + "-1");
  RunUntil([&] { return fake->Tasks().Find(often + "-2") != nullptr; });
  BOOST_TEST((fake->Tasks().Find(often + "-1")->state ==
              platform_fake::task_state::kStopped));
  time.Advance(1000);
  AwaitState(often, "finished");
  BOOST_TEST(tokens == 10);
}

// Guards against jobs lost with their control process, and against a second
// task for a job that the old process had started.
BOOST_FIXTURE_TEST_CASE(job_manager_restart_recovers_jobs, job_fixture) {
  const std::string running = Submit(R"({"run_ms":1000})");
  AwaitState(running, "running");
  tokens = 0;
  const std::string waiting = Submit();
  manager = MakeManager("c1#2");
  tokens = 10;
  AwaitState(running, "running");
  RunUntil([&] { return manager->RunningByTeam()["uva"] > 0; });
  time.Advance(1000);
  AwaitState(running, "finished");
  AwaitState(waiting, "running");
  time.Advance(1000);
  AwaitState(waiting, "finished");
  BOOST_TEST(fake->Tasks().Find(running + "-2") == nullptr);
  BOOST_TEST(fake->Tasks().Find(waiting + "-2") == nullptr);
}

// Guards against a paused process that goes on driving jobs which another one
// has taken over, and against a cancellation that does not reach the owner.
BOOST_FIXTURE_TEST_CASE(job_manager_adoption_and_cancel_elsewhere,
                        job_fixture) {
  const std::string id = Submit(R"({"run_ms":100000})");
  AwaitState(id, "running");
  auto other = MakeManager("c2#1");
  const auto cancelled = Await<rpc::job_answer>([&](auto done) {
    other->Handle({.verb = rpc::job_verb::kCancel, .team = "uva", .job_id = id},
                  done);
  });
  BOOST_TEST(cancelled.status == 202u);
  const auto foreign = Await<rpc::job_answer>([&](auto done) {
    other->Handle({.verb = rpc::job_verb::kCancel, .team = "eve", .job_id = id},
                  done);
  });
  BOOST_TEST(foreign.status == 404u);
  time.Advance(10000);
  AwaitState(id, "cancelled");
  const std::string second = Submit(R"({"run_ms":100000})");
  AwaitState(second, "running");
  other->Adopt("c1");
  RunUntil([&] { return other->RunningByTeam()["uva"] == 1; });
  time.Advance(10000);
  RunUntil([&] { return manager->RunningByTeam().empty(); });
  RunUntil([&] { return tokens == 9; });
}

// Guards against a job that is tried for ever, against accepting one that can
// never run, and against workers that fail everything they start.
BOOST_FIXTURE_TEST_CASE(job_manager_faulty_and_impossible_jobs, job_fixture) {
  const std::string bad = Submit(R"({"run_ms":0,"exit":"failed"})", true);
  AwaitState(bad, "faulty");
  BOOST_TEST(fake->Tasks().Find(bad + "-3") == nullptr);
  const auto refused =
      Ask({.verb = rpc::job_verb::kSubmit, .body = "", .accelerators = 9});
  BOOST_TEST(refused.status == 422u);
  BOOST_TEST(refused.body.find("accelerators: 9") != std::string::npos);
  BOOST_TEST(Ask({.verb = rpc::job_verb::kSubmit, .body = "\xff"}).status ==
             400u);
  BOOST_TEST(Ask({.verb = rpc::job_verb::kSubmit,
                  .body = std::string(300u << 10, 'x')})
                 .status == 413u);
  BOOST_TEST(tokens == 10);
}

// Guards against tokens that are kept by jobs which cannot start.
BOOST_FIXTURE_TEST_CASE(job_manager_without_token_waits, job_fixture) {
  tokens = 0;
  const std::string id = Submit();
  time.Advance(1000);
  BOOST_TEST(StateOf(id) == "accepted");
  tokens = 1;
  time.Advance(1000);
  AwaitState(id, "running");
  BOOST_TEST(tokens == 0);
  const auto cancel = Ask({.verb = rpc::job_verb::kCancel, .job_id = id});
  BOOST_TEST(cancel.status == 202u);
  AwaitState(id, "cancelled");
  BOOST_TEST(tokens == 1);
}

}  // namespace
}  // namespace radishwing::jobs
