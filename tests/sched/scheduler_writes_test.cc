#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

struct scheduler_writes_fixture : scheduler_fixture {
  /// Adds and starts jobs of one task each, then reports the ends of the tasks
  /// in the order of `jobs`.
  void FinishJobs(const std::vector<std::string>& jobs) {
    for (const std::string& job : jobs) AddJob(job, {Step(1)});
    const auto orders = PlanAndAccept();
    for (const std::string& job : jobs) {
      for (const order& start : orders) {
        if (start.task.job != job) continue;
        ReportListing("r1", End(++end_count, start.task, start.run,
                                fleet::run_end::kDone));
      }
    }
  }
  std::vector<std::string> TakeWrittenJobs(std::size_t limit) {
    std::vector<std::string> jobs;
    for (const pending_write& write : subject.TakeWrites(limit)) {
      jobs.push_back(write.job);
    }
    return jobs;
  }
  std::uint64_t end_count = 0;
};

BOOST_FIXTURE_TEST_SUITE(scheduler_writes, scheduler_writes_fixture)

// Guards against writing jobs in the order of their ids. While many jobs ended,
// clients saw the final state of the jobs with the highest ids seconds late.
BOOST_AUTO_TEST_CASE(oldest_change_is_written_first) {
  AddRunner("r1");
  FinishJobs({"z", "a"});
  BOOST_TEST(TakeWrittenJobs(1) == std::vector<std::string>{"z"});
  BOOST_TEST(TakeWrittenJobs(1) == std::vector<std::string>{"a"});
}

// On a full link, the ends of a job's tasks wait for one another, but nothing
// that a start or a caller waits for.
BOOST_AUTO_TEST_CASE(deferred_write_has_all_ends_and_waits_for_a_limited_time) {
  constexpr millis kDeferralMs = 600;
  AddRunner("r1");
  AddJob("a", {Step(3)});
  const auto orders = PlanAndAccept();
  BOOST_REQUIRE_EQUAL(orders.size(), 3u);
  ReportListing("r1",
                End(1, orders[0].task, orders[0].run, fleet::run_end::kDone));
  BOOST_TEST(subject.TakeWrites(5, now, kDeferralMs).empty());
  ReportListing("r1",
                End(2, orders[1].task, orders[1].run, fleet::run_end::kDone));
  BOOST_TEST(subject.TakeWrites(5, now + kDeferralMs - 1, kDeferralMs).empty());
  const auto writes = subject.TakeWrites(5, now + kDeferralMs, kDeferralMs);
  BOOST_REQUIRE_EQUAL(writes.size(), 1u);
  BOOST_TEST(writes[0].text.find("110") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(end_of_a_job_is_not_deferred) {
  AddRunner("r1");
  FinishJobs({"a"});
  BOOST_TEST(subject.TakeWrites(5, now, 600).size() == 1u);
}

BOOST_AUTO_TEST_CASE(record_that_starts_wait_for_is_not_deferred) {
  AddRunner("r1");
  AddJob("a", {Step(1)});
  BOOST_TEST(subject.Plan(now, now).empty());
  BOOST_TEST(subject.TakeWrites(5, now, 600).size() == 1u);
}

// Guards against two writes of one job in flight. The first write changes the
// revision of the job's record, so the second write would expect an outdated
// revision and fail.
BOOST_AUTO_TEST_CASE(job_is_not_taken_again_before_its_write_is_answered) {
  AddRunner("r1");
  AddJob("a", {Step(2)});
  const auto orders = PlanAndAccept();
  BOOST_REQUIRE_EQUAL(orders.size(), 2u);
  ReportListing("r1",
                End(1, orders[0].task, orders[0].run, fleet::run_end::kDone));
  const auto first = subject.TakeWrites(5);
  BOOST_REQUIRE_EQUAL(first.size(), 1u);
  ReportListing("r1",
                End(2, orders[1].task, orders[1].run, fleet::run_end::kDone));
  BOOST_TEST(TakeWrittenJobs(5).empty());
  subject.ReportWriteSuccess("a", first[0].progress_version, 7);
  const auto second = subject.TakeWrites(5);
  BOOST_REQUIRE_EQUAL(second.size(), 1u);
  BOOST_TEST(second[0].record_revision == 7u);
}

BOOST_AUTO_TEST_CASE(failed_write_is_retried) {
  AddRunner("r1");
  FinishJobs({"a"});
  BOOST_REQUIRE_EQUAL(TakeWrittenJobs(5).size(), 1u);
  subject.ReportWriteFailure("a");
  BOOST_TEST(TakeWrittenJobs(5) == std::vector<std::string>{"a"});
}

// Guards against a commit with more entries than the store accepts: the first
// write of a job's progress takes one more than the later ones.
BOOST_AUTO_TEST_CASE(writes_fit_into_the_entries_of_a_commit) {
  AddRunner("r1");
  for (const std::string id : {"a", "b", "c", "d"}) {
    AddJob(id, {Step(1)}, false, 2, 50);
  }
  subject.Plan(now, now);
  const auto first = subject.TakeWrites(10, now, 0, 8);
  BOOST_REQUIRE_EQUAL(first.size(), 2u);
  BOOST_TEST(first[0].job_revision == 50u);
  subject.ReportWriteSuccess("a", first[0].progress_version, 60);
  subject.CancelJob("a", now);
  const auto second = subject.TakeWrites(10, now, 0, 8);
  BOOST_REQUIRE_EQUAL(second.size(), 3u);
  BOOST_TEST(second[2].job == "a");
  BOOST_TEST(second[2].job_revision == 0u);
}

// Guards against a job that fails the commits of others for ever.
BOOST_AUTO_TEST_CASE(jobs_of_a_refused_commit_are_written_alone) {
  AddRunner("r1");
  AddJob("a", {Step(1)});
  AddJob("b", {Step(1)});
  subject.Plan(now, now);
  BOOST_TEST(TakeWrittenJobs(5).size() == 2u);
  for (const char* job : {"a", "b"}) {
    subject.ReportWriteFailure(job, write_failure::kRefusedWithOthers, now);
  }
  BOOST_TEST(TakeWrittenJobs(5) == std::vector<std::string>{"a"});
  subject.ReportWriteFailure("a", write_failure::kRefused, now);
  BOOST_TEST(TakeWrittenJobs(5) == std::vector<std::string>{"b"});
}

// Guards against a refusal that is taken for a store that is down, and against
// room that a job without a record holds until its next write.
BOOST_AUTO_TEST_CASE(refused_job_is_held_and_the_others_start) {
  AddRunner("r1", 1000);
  AddJob("a", {Step(1)});
  subject.Plan(now, now);
  BOOST_TEST(TakeWrittenJobs(5) == std::vector<std::string>{"a"});
  subject.ReportWriteFailure("a", write_failure::kRefused, now);
  AddJob("b", {Step(1)});
  const auto orders = Plan();
  BOOST_REQUIRE_EQUAL(orders.size(), 1u);
  BOOST_TEST(orders[0].task.job == "b");
  now += 5000;
  BOOST_TEST(subject.TakeWrites(5, now).size() == 1u);
}

// Guards against jobs that wait for ever for a write that shows that the store
// is back: the only one left is of a job that is held.
BOOST_AUTO_TEST_CASE(held_job_does_not_keep_the_store_down) {
  AddRunner("r1");
  AddJob("a", {Step(1)});
  subject.Plan(now, now);
  TakeWrittenJobs(5);
  subject.ReportWriteFailure("a", write_failure::kRefused, now);
  AddJob("b", {Step(1)});
  subject.Plan(now, now);
  for (const pending_write& write : subject.TakeWrites(5, now)) {
    subject.ReportWriteFailure(write.job);
  }
  subject.CancelJob("b", now);
  for (const pending_write& write : subject.TakeWrites(5, now)) {
    subject.ReportWriteFailure(write.job);
  }
  subject.DropJob("b");
  AddJob("c", {Step(1)});
  subject.Plan(now, now);
  BOOST_TEST(subject.TakeWrites(5, now).size() == 1u);
}

// Guards against a record that the store would refuse, and would refuse again.
BOOST_AUTO_TEST_CASE(record_that_is_too_long_is_not_sent) {
  AddRunner("r1");
  subject.SetMaxRecordBytes(16384);
  // The steps before the last one have no room, but are in the record.
  std::vector<fleet::task_step> steps(12, Step(2000, 1000000));
  steps.back() = Step(1);
  AddJob("a", std::move(steps));
  AddJob("b", {Step(1)});
  for (const order& start : PlanAndAccept()) {
    ReportListing(
        "r1", End(++end_count, start.task, start.run, fleet::run_end::kDone));
  }
  subject.TakeEvents();
  BOOST_TEST(end_count == 2u);
  const auto jobs = TakeWrittenJobs(5);
  BOOST_TEST((std::ranges::find(jobs, "a") == jobs.end()));
  const auto events = subject.TakeEvents();
  BOOST_TEST(std::ranges::count(events, event_kind::kRecordRefused,
                                &scheduler_event::kind) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched
