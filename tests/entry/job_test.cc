#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "tests/entry/entry_fixture.h"

namespace radishwing::entry {
namespace {

// Guards against job calls that lose their team, their needs or their answer.
BOOST_FIXTURE_TEST_CASE(job_calls_are_handed_to_the_control, entry_fixture) {
  std::vector<rpc::job_request> asked;
  port.job = [&](rpc::job_request request, auto completion) {
    asked.push_back(request);
    completion(rpc::job_answer{202, "", "{\"id\":\"j1\"}"});
  };
  Start(0);
  http_answer accepted = Send(
      "POST", "/radishwing/jobs/sums",
      {{"Radishwing-Request-Id", "j1"}, {"Radishwing-Cores", "4"}}, "payload");
  BOOST_TEST(accepted.status == 202u);
  BOOST_TEST(accepted.body == "{\"id\":\"j1\"}");
  Send("GET", "/radishwing/jobs/j1/result");
  Send("DELETE", "/radishwing/jobs/j1");
  BOOST_REQUIRE(asked.size() == 3u);
  BOOST_TEST(asked[0].team == "uva");
  BOOST_TEST(asked[0].service == "sums");
  BOOST_TEST(asked[0].cores == 4u);
  BOOST_TEST(asked[0].body == "payload");
  BOOST_TEST((asked[1].verb == rpc::job_verb::kResult));
  BOOST_TEST(asked[1].job_id == "j1");
  BOOST_TEST((asked[2].verb == rpc::job_verb::kCancel));
  BOOST_TEST(Caller().Send("GET", "/radishwing/jobs/j1", {}).status == 401u);
}

// Guards against "not run" for a job that may have been recorded.
BOOST_FIXTURE_TEST_CASE(job_control_silent_is_unknown, entry_fixture) {
  failure next{failure_kind::kTimeout, "no answer"};
  port.job = [&](rpc::job_request, auto completion) { completion(next); };
  Start(0);
  http_answer silent = Send("POST", "/radishwing/jobs/sums", {}, "x");
  BOOST_TEST(silent.status == 504u);
  BOOST_TEST(silent.outcome == "unknown");
  next.kind = failure_kind::kUnavailable;
  http_answer away = Send("POST", "/radishwing/jobs/sums", {}, "x");
  BOOST_TEST(away.status == 503u);
  BOOST_TEST(away.outcome == "not-run");
}

}  // namespace
}  // namespace radishwing::entry
