#include "platform/job_codec.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace radishwing::platform {
namespace {

BOOST_AUTO_TEST_SUITE(job_codec_limits)

std::string Job(const std::string& step, const std::string& more = "") {
  return R"({"spec":"s","steps":[)" + step + "]" + more + "}";
}

BOOST_AUTO_TEST_CASE(ordinary_job_is_decoded) {
  const auto job = DecodeJob(
      Job(R"({"count":4,"cpu":500},{"count":2,"after":[0]})",
          R"(,"repetitions":3,"first-ms":1700000000000,"interval-ms":1000)"));
  BOOST_REQUIRE(Ok(job));
  BOOST_TEST(Value(job).steps[0].count == 4);
  BOOST_TEST(Value(job).repetitions == 3);
}

// One accepted job that the leader cannot hold would end every leader in turn,
// because each one reads the job from the store.
BOOST_AUTO_TEST_CASE(job_too_large_for_a_leader_is_refused) {
  BOOST_TEST(
      !Ok(DecodeJob(Job(R"({"count":1})", R"(,"repetitions":2000000000)"))));
  BOOST_TEST(!Ok(DecodeJob(Job(R"({"count":1})", R"(,"repetitions":-1)"))));
  std::string steps = R"({"count":2000})";
  for (int i = 0; i < 50; ++i) steps += R"(,{"count":2000})";
  BOOST_TEST(!Ok(DecodeJob(Job(steps))));
}

BOOST_AUTO_TEST_CASE(number_out_of_range_is_refused_and_not_wrapped) {
  BOOST_TEST(!Ok(DecodeJob(Job(R"({"count":4294967297})"))));
  BOOST_TEST(!Ok(DecodeJob(Job(R"({"count":1e300})"))));
  BOOST_TEST(
      !Ok(DecodeJob(Job(R"({"count":1},{"count":1,"after":[4294967296]})"))));
  BOOST_TEST(!Ok(DecodeJob(Job(R"({"count":1,"estimate-ms":-5})"))));
  BOOST_TEST(!Ok(
      DecodeJob(Job(R"({"count":1})",
                    R"(,"repetitions":5,"first-ms":9000000000000000000)"))));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::platform
