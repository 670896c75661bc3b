#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

constexpr std::uint64_t kRecordRevision = 7;

struct scheduler_merge_fixture : scheduler_fixture {
  scheduler_merge_fixture() { AddRunner("r1"); }

  /// Returns a progress record that another leader has written. The job has one
  /// repetition with one step; `done` has a '1' for each task that is done,
  /// `tasks` is the list of tasks with failed runs.
  static std::string OtherRecord(const std::string& done,
                                 const std::string& tasks = "") {
    return R"({"state":"running","created":1,"data_centres":["dc"],)"
           R"("repetitions":[{"number":0,"done":false,"steps":[{"done":")" +
           done + R"(","tasks":[)" + tasks + "]}]}]}";
  }

  /// Reports that the store rejected the write of the job's progress because it
  /// has the record `text`.
  bool ReportConflict(const std::string& job, const std::string& text) {
    subject.TakeWrites(10);
    subject.ReportWriteFailure(job);
    return subject.MergeProgress(job, text, kRecordRevision, now);
  }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_merge, scheduler_merge_fixture)

// Guards against running a job again that was taken for new although the store
// has a record of its end.
BOOST_AUTO_TEST_CASE(record_of_an_ended_job_ends_it) {
  AddJob("a", {Step(1)});
  subject.Plan(now, now);
  BOOST_TEST(ReportConflict(
      "a",
      R"({"state":"succeeded","created":1,"data_centres":[],"repetitions":[]})"));
  BOOST_TEST(Plan().empty());
  BOOST_TEST((subject.FindJob("a")->phase == job_phase::kSucceeded));
}

// Guards against running single tasks again that the stored record has as done.
BOOST_AUTO_TEST_CASE(done_tasks_of_the_record_do_not_run) {
  AddJob("a", {Step(3)});
  subject.Plan(now, now);
  BOOST_TEST(ReportConflict("a", OtherRecord("101")));
  const auto orders = Plan();
  BOOST_REQUIRE_EQUAL(orders.size(), 1u);
  BOOST_TEST(orders[0].task.index == 1);
}

// Guards against a job that never ends because its last tasks are done only
// when the record and the job in memory are taken together.
BOOST_AUTO_TEST_CASE(job_ends_when_record_and_memory_have_all_tasks) {
  AddJob("a", {Step(2)});
  subject.Plan(now, now);
  ReportListing("r1", End(1, {"a", 0, 0, 0}, 9, fleet::run_end::kDone));
  BOOST_TEST(ReportConflict("a", OtherRecord("01")));
  BOOST_TEST((subject.FindJob("a")->phase == job_phase::kSucceeded));
  BOOST_TEST(std::ranges::none_of(Plan(), [](const order& given) {
    return given.kind == order_kind::kStart;
  }));
}

// Guards against a task that runs more often than its attempts allow because
// failed runs of the record are not counted.
BOOST_AUTO_TEST_CASE(failed_runs_of_the_record_use_attempts) {
  AddJob("a", {Step(1)});
  subject.Plan(now, now);
  ReportListing("r1", End(1, {"a", 0, 0, 0}, 9, fleet::run_end::kFailed));
  BOOST_TEST(ReportConflict("a", OtherRecord("0", R"([0,[3],""])")));
  BOOST_TEST((subject.FindJob("a")->phase == job_phase::kFailed));
}

// Guards against a task that runs twice at once: the job was started by an
// earlier leader, and a runner has not listed its runs yet.
BOOST_AUTO_TEST_CASE(job_with_another_record_waits_for_unlisted_runners) {
  subject.AddUnlistedRunner("r2", "pool", "dc");
  AddJob("a", {Step(1)});
  subject.Plan(now, now);
  BOOST_TEST(ReportConflict("a", OtherRecord("0")));
  BOOST_TEST(Plan().empty());
  subject.RemoveRunner("r2", now);
  BOOST_TEST(Plan().size() == 1u);
}

// A write whose response was lost is repeated and then meets the record that it
// has written itself. That must neither delay the job nor undo its progress.
BOOST_AUTO_TEST_CASE(own_record_after_a_lost_response_changes_nothing) {
  subject.AddUnlistedRunner("r2", "pool", "dc");
  AddJob("a", {Step(2)});
  subject.Plan(now, now);
  const auto writes = subject.TakeWrites(10);
  BOOST_REQUIRE_EQUAL(writes.size(), 1u);
  subject.ReportWriteFailure("a");
  ReportListing("r1", End(1, {"a", 0, 0, 0}, 9, fleet::run_end::kDone));
  BOOST_TEST(!subject.MergeProgress("a", writes[0].text, kRecordRevision, now));
  const auto orders = Plan();
  BOOST_REQUIRE_EQUAL(orders.size(), 1u);
  BOOST_TEST(orders[0].task.index == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched
