#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "src/node/record_keys.h"
#include "src/sched/backlog_codec.h"
#include "tests/node/node_fixture.h"

namespace radishwing::node {
namespace {

using boost::beast::http::verb;
constexpr const char* kJob = "00000000000000a1";
constexpr const char* kFlood = "00000000000000f1";
const std::string kJobPath = std::string("/q/") + kJob;
const std::string kFloodPath = std::string("/q/") + kFlood;

/// Two nodes, of which one leads.
struct refusal_fixture : node_fixture {
  refusal_fixture() : address(AddNode("n1")) {
    BOOST_REQUIRE(CallUntil(address, verb::get, "/q/", 200));
    other_address = AddNode("n2");
    BOOST_REQUIRE(CallUntil(other_address, verb::get, "/q/", 200));
  }

  /// Submits a job that needs all runners for 20 s. It loses its value after
  /// two seconds and does not count as load from then on.
  void Overload(const std::string& node_address,
                const std::string& path = kFloodPath) {
    const std::size_t started = recorder.tasks.size();
    BOOST_REQUIRE(Call(node_address, verb::post, path,
                       R"({"spec":"s","steps":[{"count":1000,"cpu":8000,)"
                       R"("estimate-ms":60}]})") == 200u);
    // The leader's summary may be 200 ms old; three tasks of 60 ms run at once.
    BOOST_REQUIRE(
        RunUntil([&] { return recorder.tasks.size() >= started + 20; }));
  }

  /// Submits the job. Returns the status of the response.
  unsigned Submit(const std::string& node_address) {
    return Call(node_address, verb::post, kJobPath, JobBody(1));
  }

  /// Submits the job with a commit that the store carries out only in
  /// ApplyDelayedCommits().
  void SubmitWithDelayedCommit() {
    store.DelayCommitsOf(JobKey(kJob));
    BOOST_REQUIRE(Submit(address) == 504u);
    store.DelayCommitsOf("");
  }

  /// Returns the leader's next backlog summary.
  sched::backlog_summary NextSummary() {
    const auto record = boost::json::parse(store.Value("rw/n/shard/0"));
    const std::string peer = record.at("address").as_string().c_str();
    std::uint64_t first = 0;
    sched::backlog_summary summary;
    BOOST_REQUIRE(RunUntil([&] {
      Call(peer, verb::post, "/peer/backlog?node=test", R"({"refused":[]})");
      const auto decoded = sched::DecodeBacklog(response_body);
      if (!Ok(decoded)) return false;
      summary = Value(decoded);
      if (first == 0) first = summary.sequence;
      return summary.sequence > first;
    }));
    return summary;
  }

  /// Returns the work of refused jobs that the leader expects back.
  double ReturningCoreMs() {
    double sum = 0;
    for (const sched::pool_backlog& pool : NextSummary().pools) {
      for (const sched::team_backlog& team : pool.teams) {
        sum += team.returning_core_ms;
      }
    }
    return sum;
  }

  bool IsStored() const { return !store.Value(JobKey(kJob)).empty(); }

  std::string address;  ///< Of the leader.
  std::string other_address;
};

BOOST_FIXTURE_TEST_SUITE(refusal, refusal_fixture)

BOOST_AUTO_TEST_CASE(job_is_refused_with_reason_and_time) {
  Overload(address);
  BOOST_TEST(Submit(address) == 503u);
  BOOST_TEST(response_body.find("pool_full") != std::string::npos);
  BOOST_TEST(std::stoi(retry_after) > 1);
  BOOST_TEST(!IsStored());
  BOOST_TEST(!store.Value(RefusalKey(kJob)).empty());
}

// Guards against running a job whose caller was told that it does not run: the
// store carries out an earlier submission after the refusal.
BOOST_AUTO_TEST_CASE(earlier_submission_is_not_stored_after_a_refusal) {
  SubmitWithDelayedCommit();
  Overload(address);
  BOOST_TEST(Submit(address) == 503u);
  store.ApplyDelayedCommits();
  BOOST_TEST(!IsStored());
  BOOST_TEST(Call(address, verb::get, kJobPath) == 410u);
}

// Guards against refusing a job that is stored: a repeat at another node, which
// has the summary of the overload, after a response that left it open.
BOOST_AUTO_TEST_CASE(repeat_of_a_stored_job_is_accepted_by_another_node) {
  SubmitWithDelayedCommit();
  Overload(other_address);
  store.ApplyDelayedCommits();
  BOOST_REQUIRE(IsStored());
  BOOST_TEST(Submit(other_address) == 200u);
  BOOST_TEST(Submit(address) == 200u);
  BOOST_TEST(store.Value(RefusalKey(kJob)).empty());
}

// Guards against a refusal that keeps a job from ever being accepted.
BOOST_AUTO_TEST_CASE(job_that_is_submitted_again_after_the_overload_runs) {
  Overload(address);
  BOOST_REQUIRE(Submit(address) == 503u);
  BOOST_REQUIRE(Call(address, verb::delete_, kFloodPath) == 200u);
  // The time that the caller was told has passed.
  store.Put(RefusalKey(kJob), R"({"retry_at":0})");
  BOOST_TEST(CallUntil(other_address, verb::post, kJobPath, 200, JobBody(1)));
  BOOST_TEST(WaitForState(other_address, kJob, "succeeded"));
}

// Guards against a refusal without a guard, which may not be final.
BOOST_AUTO_TEST_CASE(refusal_without_a_stored_guard_is_not_sent) {
  Overload(address);
  store.DelayCommitsOf(RefusalKey(kJob));
  BOOST_TEST(Submit(address) == 504u);
  store.DelayCommitsOf("");
  Overload(address, "/q/00000000000000f2");
  BOOST_TEST(Submit(address) == 503u);
  store.ApplyDelayedCommits();
  BOOST_TEST(!IsStored());
}

// Guards against callers that come back at once while the store refuses writes.
BOOST_AUTO_TEST_CASE(computed_time_is_kept_if_the_store_refuses_the_guard) {
  Overload(address);
  store.SetUnavailable(true);
  BOOST_TEST(Submit(address) == 503u);
  store.SetUnavailable(false);
  BOOST_TEST(response_body.find("store_unreachable") != std::string::npos);
  BOOST_TEST(std::stoi(retry_after) > 1);
}

// Guards against storing a job whose later submission was refused by another
// node while this one was under way.
BOOST_AUTO_TEST_CASE(submission_is_overruled_by_a_refusal_after_its_arrival) {
  store.BeforeNextCommitOf(JobKey(kJob), [this] {
    store.Put(RefusalKey(kJob), R"({"retry_at":0})");
  });
  BOOST_TEST(Submit(address) == 503u);
  BOOST_TEST(response_body.find("refused_elsewhere") != std::string::npos);
  BOOST_TEST(!IsStored());
  BOOST_TEST(CallUntil(address, verb::post, kJobPath, 200, JobBody(1)));
}

// Guards against work that counts again with each return of its caller.
BOOST_AUTO_TEST_CASE(refused_job_counts_once_when_its_caller_returns) {
  Overload(address);
  BOOST_REQUIRE(Submit(address) == 503u);
  // A submission reports what was refused before it.
  BOOST_REQUIRE(Submit(address) == 503u);
  const double once = ReturningCoreMs();
  BOOST_TEST(once > 0);
  BOOST_REQUIRE(Submit(address) == 503u);
  BOOST_REQUIRE(Submit(address) == 503u);
  BOOST_TEST(ReturningCoreMs() < 1.5 * once);
}

// Guards against storing a submission that a paused node reads after the
// refusal of a later one, and against a time that grows with each early return.
BOOST_AUTO_TEST_CASE(submission_before_its_time_is_not_stored_without_a_load) {
  Overload(address);
  BOOST_REQUIRE(Submit(address) == 503u);
  const std::string guard = store.Value(RefusalKey(kJob));
  const int first_s = std::stoi(retry_after);
  BOOST_REQUIRE(Call(address, verb::delete_, kFloodPath) == 200u);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(Submit(other_address) == 503u);
    BOOST_TEST(std::stoi(retry_after) > 1);
    BOOST_TEST(std::stoi(retry_after) <= first_s);
    BOOST_TEST(!IsStored());
    BOOST_TEST(store.Value(RefusalKey(kJob)) == guard);
  }
}

// Guards against refusing what must always be possible during an overload.
BOOST_AUTO_TEST_CASE(states_and_cancels_are_served_during_an_overload) {
  Overload(address);
  BOOST_TEST(Submit(address) == 503u);
  BOOST_TEST(Call(other_address, verb::get, kFloodPath) == 200u);
  BOOST_TEST(Call(other_address, verb::get, kJobPath) == 410u);
  BOOST_TEST(Call(other_address, verb::delete_, kJobPath) == 410u);
  BOOST_TEST(Call(other_address, verb::delete_, kFloodPath) == 200u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node
