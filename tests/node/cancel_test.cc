#include <boost/test/unit_test.hpp>

#include "src/node/record_keys.h"
#include "tests/node/node_fixture.h"

namespace radishwing::node {
namespace {

using boost::beast::http::verb;
constexpr const char* kCancelledJob = "00000000000000a1";
constexpr const char* kOtherJob = "00000000000000a2";
const std::string kCancelledPath = std::string("/q/") + kCancelledJob;

struct cancel_fixture : node_fixture {
  cancel_fixture() : address(AddNode("n1")) {
    BOOST_REQUIRE(CallUntil(address, verb::get, "/q/", 200));
  }

  /// Submits a job whose commit the store carries out only in
  /// ApplyDelayedCommits().
  void SubmitWithDelayedCommit() {
    store.DelayCommitsOf(JobKey(kCancelledJob));
    BOOST_REQUIRE(Call(address, verb::post, kCancelledPath, JobBody(2)) ==
                  504u);
    store.DelayCommitsOf("");
  }

  /// Runs another job to its end and returns true if the cancelled job had no
  /// run until then. The request for the state of the cancelled job makes a
  /// node notify the leader of the job if it is stored.
  bool CancelledJobDoesNotRun() {
    Call(address, verb::get, kCancelledPath);
    BOOST_REQUIRE(Call(address, verb::post, std::string("/q/") + kOtherJob,
                       JobBody(2)) == 200u);
    BOOST_REQUIRE(WaitForState(address, kOtherJob, "succeeded"));
    return recorder.tasks.size() == 4u;
  }

  std::string address;
};

BOOST_FIXTURE_TEST_SUITE(cancel, cancel_fixture)

// Guards against running a job whose cancel was answered 410: the store carries
// out the write of the job only after that answer.
BOOST_AUTO_TEST_CASE(job_that_is_stored_late_does_not_run) {
  SubmitWithDelayedCommit();
  BOOST_TEST(Call(address, verb::delete_, kCancelledPath) == 410u);
  store.ApplyDelayedCommits();
  BOOST_TEST(CancelledJobDoesNotRun());
  BOOST_TEST(Call(address, verb::get, kCancelledPath) == 410u);
}

// Guards against running a job whose cancel was answered 410 when a repeated
// submission arrives after the cancel, at another node.
BOOST_AUTO_TEST_CASE(job_that_is_submitted_later_is_accepted_as_cancelled) {
  const std::string other_address = AddNode("n2");
  BOOST_REQUIRE(CallUntil(other_address, verb::get, "/q/", 200));
  BOOST_TEST(Call(address, verb::delete_, kCancelledPath) == 410u);
  BOOST_TEST(Call(other_address, verb::post, kCancelledPath, JobBody(2)) ==
             200u);
  BOOST_TEST(CancelledJobDoesNotRun());
  BOOST_TEST(WaitForState(other_address, kCancelledJob, "cancelled"));
  BOOST_TEST(Call(address, verb::delete_, kCancelledPath) == 200u);
  BOOST_TEST(Call(address, verb::post, kCancelledPath, JobBody(2)) == 200u);
}

// Guards against running such a job after a change of the leader.
BOOST_AUTO_TEST_CASE(successor_does_not_run_a_job_accepted_as_cancelled) {
  BOOST_TEST(Call(address, verb::delete_, kCancelledPath) == 410u);
  BOOST_TEST(Call(address, verb::post, kCancelledPath, JobBody(2)) == 200u);
  KillNode("n1");
  address = AddNode("n1");
  BOOST_REQUIRE(CallUntil(address, verb::get, "/q/", 200));
  BOOST_TEST(CancelledJobDoesNotRun());
  BOOST_TEST(WaitForState(address, kCancelledJob, "cancelled"));
}

// Guards against rejecting the jobs that share a commit with a cancelled one.
BOOST_AUTO_TEST_CASE(other_jobs_of_the_commit_are_accepted) {
  BOOST_TEST(Call(address, verb::delete_, kCancelledPath) == 410u);
  std::vector<unsigned> statuses;
  http::client_options options;
  options.address = address;
  auto client = Value(http::client::Make(io, options));
  for (const char* id : {kCancelledJob, kOtherJob}) {
    http::client_request request;
    request.method = verb::post;
    request.target = std::string("/q/") + id;
    request.body = JobBody(2);
    request.headers = {{"Host", "h.example"}, {"X-Api-Key", "k1"}};
    request.total_timeout_ms = 10000;
    client->Send(request, [&](result<http::client_response> response) {
      statuses.push_back(Ok(response) ? Value(response).status : 0);
    });
  }
  BOOST_REQUIRE(RunUntil([&] { return statuses.size() == 2; }));
  BOOST_TEST(statuses == std::vector<unsigned>({200, 200}),
             boost::test_tools::per_element());
  BOOST_TEST(WaitForState(address, kOtherJob, "succeeded"));
  BOOST_TEST(WaitForState(address, kCancelledJob, "cancelled"));
  BOOST_TEST(recorder.tasks.size() == 4u);
}

// Guards against a cancel that is answered 410 although the job was stored
// between the node's read and its write.
BOOST_AUTO_TEST_CASE(cancel_of_a_job_stored_meanwhile_is_answered_200) {
  SubmitWithDelayedCommit();
  store.BeforeNextCommitOf(CancelKey(kCancelledJob),
                           [this] { store.ApplyDelayedCommits(); });
  BOOST_TEST(Call(address, verb::delete_, kCancelledPath) == 200u);
  BOOST_TEST(WaitForState(address, kCancelledJob, "cancelled"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node
