#include <boost/test/unit_test.hpp>

#include "tests/node/leader_fixture.h"

namespace radishwing::node {
namespace {

constexpr const char* kJob = "00000000000000a1";

BOOST_FIXTURE_TEST_SUITE(leader_jobs, leader_fixture)

// Guards against running a succeeded job again when the leader learns of the
// job without having read its progress record.
BOOST_AUTO_TEST_CASE(job_with_a_progress_record_is_not_taken_for_new) {
  BecomeReady();
  StoreSucceededJob(kJob);
  subject->AddJob(kJob, JobRecord());
  const auto succeeded = [&] {
    return subject->JobStatus(kJob).phase == sched::job_phase::kSucceeded;
  };
  RunUntil([&] { return succeeded() || !HasNoRun(kJob); });
  BOOST_TEST(succeeded());
  BOOST_TEST(HasNoRun(kJob));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node
