#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "src/sched/progress_codec.h"
#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

/// A job with many due repetitions, each of steps that follow one another.
struct progress_record_fixture : scheduler_fixture {
  static constexpr std::size_t kValueBytes = 1048576;

  void AddSchedule(int repetitions, int due, int steps) {
    fleet::job_record record;
    record.id = "a";
    record.queue = "queue";
    record.pool = "pool";
    record.team = "team";
    record.max_attempts = 3;
    for (int i = 0; i < steps; ++i) {
      fleet::task_step step = Step(1, 1);
      if (i > 0) step.predecessors = {i - 1};
      record.request.steps.push_back(std::move(step));
    }
    record.request.repetitions = repetitions;
    record.request.interval_ms = 1;
    record.request.first_due_ms = now - due + 1;
    subject.AddJob(std::move(record), restored, now, now);
  }

  /// Performs a pass, and ends all tasks that it starts. Returns the length of
  /// the longest record written.
  std::size_t RunPass() {
    std::size_t longest = 0;
    for (const pending_write& write : subject.TakeWrites(10, now)) {
      longest = std::max(longest, write.text.size());
      text = write.text;
      subject.ReportWriteSuccess(write.job, write.progress_version,
                                 ++store_revision);
    }
    fleet::runner_listing ends;
    for (const order& start : subject.Plan(now, unix_now)) {
      if (start.kind != order_kind::kStart) continue;
      BOOST_TEST(started.insert(start.task).second);
      subject.ApplyOrderOutcome(start, fleet::order_outcome::kAccepted, now);
      ends.ended.push_back(
          {++end_count, start.task, start.run, fleet::run_end::kDone, ""});
    }
    ReportListing("r1", ends);
    return longest;
  }

  bool restored = false;
  millis unix_now = now;
  std::uint64_t end_count = 0;
  std::string text;                    ///< Text of the newest record.
  std::set<fleet::task_name> started;  ///< Tasks that were started.
};

BOOST_FIXTURE_TEST_SUITE(progress_record, progress_record_fixture)

// Guards against one schedule that stops the start of all jobs: the store
// refuses its record for good once enough repetitions are due.
BOOST_AUTO_TEST_CASE(record_of_a_long_schedule_fits_into_a_value_of_the_store) {
  AddRunner("r1", 1000000);
  AddSchedule(10000, 4320, 10);
  for (int pass = 0; pass < 4; ++pass) {
    BOOST_TEST(RunPass() <= kValueBytes);
  }
  BOOST_TEST(started.size() > 1000u);
}

// Guards against a record that grows with the repetitions that are done.
BOOST_AUTO_TEST_CASE(record_shrinks_when_repetitions_are_done) {
  AddRunner("r1", 1000000);
  AddSchedule(3000, 2000, 2);
  for (int pass = 0; pass < 12; ++pass) RunPass();
  BOOST_TEST(started.size() == 4000u);
  BOOST_TEST(text.size() < 300u);
}

// Guards against repetitions that run again, or never, after a takeover. The
// second and the third are done, the first has a task that fails, the others
// are begun, or due, or not due.
BOOST_AUTO_TEST_CASE(successor_runs_what_is_not_done_once) {
  AddRunner("r1", 4);
  AddSchedule(8, 6, 1);
  auto starts = Plan();
  BOOST_REQUIRE_EQUAL(starts.size(), 4u);
  fleet::runner_listing ends;
  for (const order& start : starts) {
    subject.ApplyOrderOutcome(start, fleet::order_outcome::kAccepted, now);
    if (start.task.repetition == 3) continue;
    ends.ended.push_back({++end_count, start.task, start.run,
                          start.task.repetition == 0 ? fleet::run_end::kFailed
                                                     : fleet::run_end::kDone,
                          ""});
  }
  ReportListing("r1", ends);
  const auto writes = subject.TakeWrites(1);
  BOOST_REQUIRE_EQUAL(writes.size(), 1u);

  progress_record_fixture next;
  next.restored = true;
  next.AddRunner("r1", 1000);
  next.AddSchedule(8, 6, 1);
  BOOST_REQUIRE(
      Ok(next.subject.RestoreProgress("a", writes[0].text, 5, next.now)));
  next.unix_now = next.now + 100;
  for (int pass = 0; pass < 4; ++pass) {
    next.now += 100;
    next.RunPass();
  }
  std::set<int> repetitions;
  for (const fleet::task_name& task : next.started) {
    repetitions.insert(task.repetition);
  }
  BOOST_TEST((repetitions == std::set<int>{0, 3, 4, 5, 6, 7}));
  BOOST_TEST((next.subject.FindJob("a")->phase == job_phase::kSucceeded));
}

// Guards against a repetition that runs again after a second takeover.
BOOST_AUTO_TEST_CASE(record_of_a_restored_job_keeps_what_is_done) {
  restored = true;
  AddRunner("r1", 4);
  AddSchedule(8, 6, 1);
  BOOST_REQUIRE(Ok(subject.RestoreProgress(
      "a",
      R"({"state":"running","created":4,"data_centres":["dc"],)"
      R"("finished":[[0,0],[2,3]],"repetitions":[]})",
      5, now)));
  const std::string second = EncodeProgress(*subject.FindJob("a"), kValueBytes);
  progress_record_fixture next;
  next.restored = true;
  next.AddRunner("r1", 1000);
  next.AddSchedule(8, 6, 1);
  BOOST_REQUIRE(Ok(next.subject.RestoreProgress("a", second, 6, next.now)));
  next.RunPass();
  std::set<int> repetitions;
  for (const fleet::task_name& task : next.started) {
    repetitions.insert(task.repetition);
  }
  BOOST_TEST((repetitions == std::set<int>{1, 4, 5}));
}

// Guards against running what a record of another leader has as done.
BOOST_AUTO_TEST_CASE(finished_repetition_of_a_merged_record_is_done) {
  AddRunner("r1", 1000);
  AddSchedule(3, 3, 1);
  subject.MergeProgress(
      "a",
      R"({"state":"running","created":2,"data_centres":["dc"],)"
      R"("finished":[[0,0]],"repetitions":[]})",
      9, now);
  for (int pass = 0; pass < 3; ++pass) RunPass();
  std::set<int> repetitions;
  for (const fleet::task_name& task : started) {
    repetitions.insert(task.repetition);
  }
  BOOST_TEST((repetitions == std::set<int>{1, 2}));
}

// Checkpoints only save work, so the record goes without them if need be.
BOOST_AUTO_TEST_CASE(record_that_is_too_long_has_no_checkpoints) {
  AddRunner("r1", 1000);
  AddSchedule(0, 1, 1);
  const order start = Plan().at(0);
  subject.ApplyOrderOutcome(start, fleet::order_outcome::kAccepted, now);
  auto listing = End(1, start.task, start.run, fleet::run_end::kFailed);
  listing.ended[0].checkpoint = std::string(500, 'c');
  ReportListing("r1", listing);
  const job_state& job = *subject.FindJob("a");
  BOOST_TEST(EncodeProgress(job, 1000).find("ccc") != std::string::npos);
  const std::string shorter = EncodeProgress(job, 400);
  BOOST_TEST(shorter.size() <= 400u);
  BOOST_TEST(shorter.find("ccc") == std::string::npos);
  BOOST_TEST(shorter.find("[0,[1],") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched
