#include <boost/test/unit_test.hpp>
#include <memory>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

BOOST_FIXTURE_TEST_SUITE(scheduler_takeover, scheduler_fixture)

// A runner may list the end of a run before the new leader has created the
// run's repetition of the job. The leader acknowledged such an end without
// recording it, and ran the task again.
BOOST_AUTO_TEST_CASE(restored_job_end_before_first_plan_is_recorded) {
  AddRunner("r1");
  AddJob("a", {Step(2)}, true);
  const auto recorded =
      ReportListing("r1", End(1, {"a", 0, 0, 0}, 1, fleet::run_end::kDone));
  BOOST_REQUIRE_EQUAL(recorded.size(), 1u);
  BOOST_TEST(recorded[0].job == "a");
  BOOST_TEST(!subject.IsPersisted("a", recorded[0].progress_version));
  const auto orders = Plan();
  BOOST_REQUIRE_EQUAL(orders.size(), 1u);
  BOOST_TEST(orders[0].task.index == 1);
}

// Guards against starting a task after its last attempt has failed. Two runners
// each list the end of a failed run of the task, and the end of the later run
// arrives first.
BOOST_AUTO_TEST_CASE(failed_ends_out_of_order_both_use_an_attempt) {
  AddRunner("r1");
  AddRunner("r2");
  AddJob("a", {Step(1)}, true);
  ReportListing("r2", End(1, {"a", 0, 0, 0}, 130, fleet::run_end::kFailed));
  ReportListing("r1", End(1, {"a", 0, 0, 0}, 129, fleet::run_end::kFailed));
  BOOST_TEST(Plan().empty());
  BOOST_TEST((subject.FindJob("a")->phase == job_phase::kFailed));
}

// Guards against counting a failed run twice. The earlier leader persisted the
// end of the run but did not acknowledge the end to the runner, so the runner
// lists the end again.
BOOST_AUTO_TEST_CASE(persisted_failed_end_counts_once) {
  AddRunner("r1");
  AddJob("a", {Step(1)}, true);
  ReportListing("r1", End(1, {"a", 0, 0, 0}, 1, fleet::run_end::kFailed));
  const auto writes = subject.TakeWrites(10);
  BOOST_REQUIRE_EQUAL(writes.size(), 1u);

  scheduler_fixture next;
  next.AddRunner("r1");
  next.AddJob("a", {Step(1)}, true);
  BOOST_REQUIRE(
      Ok(next.subject.RestoreProgress("a", writes[0].text, 7, next.now)));
  next.ReportListing("r1", End(1, {"a", 0, 0, 0}, 1, fleet::run_end::kFailed));
  BOOST_TEST((next.subject.FindJob("a")->phase != job_phase::kFailed));
  BOOST_TEST(next.Plan().size() == 1u);
}

// A restored task may already be running on a runner that has not listed its
// runs to the new leader yet. The task must not be started again until that
// runner has listed its runs or is removed.
BOOST_AUTO_TEST_CASE(restored_task_waits_for_unlisted_runner) {
  AddRunner("r1");
  subject.AddUnlistedRunner("r2", "pool", "dc");
  AddJob("a", {Step(1)}, true);
  BOOST_TEST(Plan().empty());
  subject.RemoveRunner("r2", now);
  BOOST_TEST(Plan().size() == 1u);
}

// Guards against delaying a new job until every runner has listed its runs. An
// earlier leader cannot have started a new job.
BOOST_AUTO_TEST_CASE(new_job_starts_while_a_runner_is_unlisted) {
  AddRunner("r1");
  subject.AddUnlistedRunner("r2", "pool", "dc");
  AddJob("a", {Step(1)}, false);
  BOOST_TEST(Plan().size() == 1u);
}

// Guards against placing tasks on a runner that is not in the runner set in the
// store. The next leader would not poll that runner.
BOOST_AUTO_TEST_CASE(runner_not_recorded_gets_no_work) {
  AddRunner("r1");
  subject.SetRecordedRunners({});
  AddJob("a", {Step(1)});
  BOOST_TEST(Plan().empty());
}

// Guards against overcommitting a runner. The runner may still be stopping
// tasks of a job that ended under an earlier leader.
BOOST_AUTO_TEST_CASE(runner_with_unknown_runs_gets_no_work) {
  AddRunner("r1");
  fleet::runner_listing listing;
  listing.running.push_back({{"gone", 0, 0, 0}, 1, "", 10, 0});
  ReportListing("r1", listing);
  AddJob("a", {Step(1)});
  const auto orders = Plan();
  BOOST_REQUIRE_EQUAL(orders.size(), 1u);
  BOOST_TEST((orders[0].kind == order_kind::kStop));
  ReportListing("r1", {});
  BOOST_TEST(Plan().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

/// A long-running task that fails over and over under one leader after the
/// other.
struct run_numbers_fixture : scheduler_fixture {
  run_numbers_fixture() {
    AddRunner("r1");
    AddLongJob(*this);
  }

  static void AddLongJob(scheduler_fixture& leader, bool restored = false) {
    fleet::task_step step = Step(1);
    step.long_running = true;
    leader.AddJob("a", {step}, restored);
  }

  /// Starts the task `count` times; each run fails. Keeps the last record that
  /// the leader has written. Returns the number of the last run.
  int FailRuns(scheduler_fixture& leader, int count) {
    int run = 0;
    for (int i = 0; i < count; ++i) {
      leader.now += 10000;
      const int begun = Start(leader);
      BOOST_REQUIRE(begun > run);
      run = begun;
      leader.ReportListing(
          "r1", End(static_cast<std::uint64_t>(++ends), {"a", 0, 0, 0}, run,
                    fleet::run_end::kFailed));
    }
    return run;
  }

  /// Performs passes until the task is started, with the record written when
  /// the leader asks for that. Returns the number of the run.
  int Start(scheduler_fixture& leader) {
    for (int pass = 0; pass < 3; ++pass) {
      for (const order& given : leader.subject.Plan(leader.now, leader.now)) {
        leader.subject.ApplyOrderOutcome(given, fleet::order_outcome::kAccepted,
                                         leader.now);
        return given.run;
      }
      for (const auto& write : leader.subject.TakeWrites(10)) {
        record = write.text;
        leader.subject.ReportWriteSuccess(write.job, write.progress_version,
                                          ++leader.store_revision);
      }
    }
    return 0;
  }

  /// Makes `leader` the leader of `term`, with the last record.
  void TakeOver(scheduler_fixture& leader, int term) {
    std::destroy_at(&leader.subject);
    std::construct_at(&leader.subject, scheduler::FirstRun(term));
    leader.AddRunner("r1");
    AddLongJob(leader, true);
    BOOST_REQUIRE(
        Ok(leader.subject.RestoreProgress("a", record, 7, leader.now)));
  }

  int ends = 0;
  std::string record;
};

BOOST_FIXTURE_TEST_SUITE(scheduler_run_numbers, run_numbers_fixture)

// Guards against a task that no runner starts after a takeover, because an
// earlier leader has used higher numbers than the range of its term has.
BOOST_AUTO_TEST_CASE(number_after_takeover_is_above_all_used_ones) {
  const int last = FailRuns(*this, 120);
  scheduler_fixture next;
  TakeOver(next, 2);
  BOOST_TEST(Start(next) > last);
}

BOOST_AUTO_TEST_CASE(limit_of_the_term_before_last_is_kept) {
  const int last = FailRuns(*this, 200);
  scheduler_fixture second;
  TakeOver(second, 2);
  BOOST_TEST(FailRuns(second, 1) > last);
  scheduler_fixture third;
  TakeOver(third, 3);
  BOOST_TEST(Start(third) > last + 1);
}

// Guards against a start with a number that the next leader does not know of.
BOOST_AUTO_TEST_CASE(start_beyond_the_range_waits_for_the_record) {
  FailRuns(*this, scheduler::kRunsPerTerm);
  now += 10000;
  BOOST_TEST(subject.Plan(now, now).empty());
  BOOST_REQUIRE(PersistProgress());
  BOOST_TEST(subject.Plan(now, now).size() == 1u);
}

BOOST_AUTO_TEST_CASE(starts_within_the_range_need_no_write) {
  FailRuns(*this, 2);
  record.clear();
  FailRuns(*this, scheduler::kRunsPerTerm - 2);
  BOOST_TEST(record.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched
