#include "tools/load/tally.h"

#include <sstream>

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

namespace radishwing::tools {
namespace {

struct tally_fixture {
  void Runner(const std::string& lines) {
    std::istringstream in(lines);
    subject.AddRunnerRecords(in);
  }
  void Load(const std::string& lines) {
    std::istringstream in(lines);
    subject.AddLoadRecords(in);
  }
  tally subject;
};

// Guards against a demo that passes because its count cannot see a lost
// request.
BOOST_FIXTURE_TEST_CASE(tally_answer_without_completed_run_is_lost,
                        tally_fixture) {
  Runner("started a r1 team\n");
  Load("a team svc idempotent answered 200 10 matched\n");
  BOOST_TEST(subject.Totals().lost == 1u);
}

BOOST_FIXTURE_TEST_CASE(tally_refused_but_started_is_lost, tally_fixture) {
  Runner("started a r1 team\n");
  Load("a team svc non-idempotent refused 503 10 matched\n");
  BOOST_TEST(subject.Totals().lost == 1u);
}

BOOST_FIXTURE_TEST_CASE(tally_non_idempotent_started_twice_is_doubled,
                        tally_fixture) {
  Runner("started a r1 team\ncompleted a r1\nstarted a r2 team\n");
  Load("a team svc non-idempotent answered 200 10 matched\n");
  BOOST_TEST(subject.Totals().doubled == 1u);
  BOOST_TEST(subject.Totals().lost == 0u);
}

BOOST_FIXTURE_TEST_CASE(tally_idempotent_retry_is_not_doubled, tally_fixture) {
  Runner("started a r1 team\nstarted a r2 team\ncompleted a r2\n");
  Load("a team svc idempotent answered 200 10 matched\n");
  BOOST_TEST(subject.Totals().doubled == 0u);
  BOOST_TEST(subject.Totals().answered == 1u);
}

BOOST_FIXTURE_TEST_CASE(tally_answer_of_another_request_is_lost,
                        tally_fixture) {
  Runner("started a r1 team\ncompleted a r1\n");
  Load("a team svc idempotent answered 200 10 mismatched\n");
  BOOST_TEST(subject.Totals().lost == 1u);
}

}  // namespace
}  // namespace radishwing::tools
