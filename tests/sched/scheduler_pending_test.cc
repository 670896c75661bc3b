#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/sched/progress_codec.h"
#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

struct scheduler_pending_fixture : scheduler_fixture {
  scheduler_pending_fixture() { AddRunner("r1"); }

  std::size_t PendingCount() const {
    const auto counts = subject.PendingJobCounts();
    const auto it = counts.find("queue");
    return it == counts.end() ? 0 : it->second;
  }

  /// Reports that the runner runs the task.
  void ListTask() {
    fleet::runner_listing listing;
    listing.running.push_back({{"a1", 0, 0, 0}, 1, "", 10, 0});
    ReportListing("r1", listing);
  }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_pending, scheduler_pending_fixture)

BOOST_AUTO_TEST_CASE(job_is_pending_until_a_start_is_accepted) {
  AddJob("a1", {Step(1)});
  const std::vector<order> orders = Plan();
  BOOST_TEST(orders.size() == 1u);
  BOOST_TEST(PendingCount() == 1u);
  subject.ApplyOrderOutcome(orders[0], fleet::order_outcome::kUnknown, now);
  BOOST_TEST(PendingCount() == 1u);
  subject.ApplyOrderOutcome(orders[0], fleet::order_outcome::kAccepted, now);
  BOOST_TEST(PendingCount() == 0u);
}

BOOST_AUTO_TEST_CASE(job_with_an_unanswered_start_is_not_pending_once_listed) {
  AddJob("a1", {Step(1)});
  subject.ApplyOrderOutcome(Plan()[0], fleet::order_outcome::kUnknown, now);
  ListTask();
  BOOST_TEST(PendingCount() == 0u);
}

// The progress record is stored before the first start.
BOOST_AUTO_TEST_CASE(restored_job_without_begun_tasks_is_pending) {
  AddJob("a1", {Step(1)});
  Plan();
  const std::string record = EncodeProgress(*subject.FindJob("a1"), 1u << 20);
  scheduler_fixture next;
  next.AddJob("a1", {Step(1)});
  BOOST_REQUIRE(Ok(next.subject.RestoreProgress("a1", record, 5, now)));
  BOOST_TEST(next.subject.PendingJobCounts()["queue"] == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched
