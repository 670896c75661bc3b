#include <boost/test/unit_test.hpp>

#include "tests/node/leader_fixture.h"

namespace radishwing::node {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOtherJob = "00000000000000a2";

BOOST_FIXTURE_TEST_SUITE(leader_jobs, leader_fixture)

// Guards against running a succeeded job again when the leader learns of the
// job without having read its progress record.
BOOST_AUTO_TEST_CASE(job_with_a_progress_record_is_not_taken_for_new) {
  BecomeReady();
  const std::uint64_t revision = StoreJob(kJob);
  store.Put(ProgressKey(kJob), SucceededProgress());
  subject->AddJob(kJob, JobRecord(), revision);
  const auto succeeded = [&] {
    return subject->JobStatus(kJob).phase == sched::job_phase::kSucceeded;
  };
  RunUntil([&] { return succeeded() || !HasNoRun(kJob); });
  BOOST_TEST(succeeded());
  BOOST_TEST(HasNoRun(kJob));
}

// Guards against running a removed job again when the leader learns of it from
// a read or a notification that is older than the removal.
BOOST_AUTO_TEST_CASE(job_whose_key_was_removed_is_not_run) {
  BecomeReady();
  const std::uint64_t revision = StoreJob(kJob);
  store.Remove(JobKey(kJob));
  subject->AddJob(kJob, JobRecord(), revision);
  subject->AddJob(kOtherJob, JobRecord(), StoreJob(kOtherJob));
  RunUntil([&] { return !store.Value(ProgressKey(kOtherJob)).empty(); });
  BOOST_TEST(store.Value(ProgressKey(kJob)).empty());
  BOOST_TEST(!subject->JobStatus(kJob).known);
  RunUntil([&] { return !HasNoRun(kOtherJob); });
  BOOST_TEST(HasNoRun(kJob));
}

// Guards against repeating a commit forever, which blocks the other jobs of the
// commit, when the store's response does not name the keys that are gone.
BOOST_AUTO_TEST_CASE(removed_job_does_not_block_others_if_its_key_is_omitted) {
  store.OmitAbsentItems();
  BecomeReady();
  const std::uint64_t revision = StoreJob(kJob);
  store.Remove(JobKey(kJob));
  subject->AddJob(kJob, JobRecord(), revision);
  subject->AddJob(kOtherJob, JobRecord(), StoreJob(kOtherJob));
  RunUntil([&] { return !HasNoRun(kOtherJob); });
  BOOST_TEST(HasNoRun(kJob));
  BOOST_TEST(!subject->JobStatus(kJob).known);
}

// Guards against a job that never runs because the leader still has a finished
// job with the same id, whose keys were removed by a commit without a response.
BOOST_AUTO_TEST_CASE(job_stored_again_after_its_removal_runs) {
  StoreSucceededJob(kJob);
  BecomeReady();
  store.Remove(JobKey(kJob));
  store.Remove(ProgressKey(kJob));
  subject->AddJob(kJob, JobRecord(), StoreJob(kJob));
  RunUntil([&] { return !HasNoRun(kJob); });
  BOOST_TEST(!store.Value(ProgressKey(kJob)).empty());
}

// Guards against one job that stops all others because the store refuses its
// record for good: those in the same commit, and those without a record.
BOOST_AUTO_TEST_CASE(refused_record_holds_up_only_its_own_job) {
  BecomeReady();
  store.RefuseCommitsOf(ProgressKey(kJob));
  subject->AddJob(kJob, JobRecord(), StoreJob(kJob));
  subject->AddJob(kOtherJob, JobRecord(), StoreJob(kOtherJob));
  RunUntil([&] { return !HasNoRun(kOtherJob); });
  BOOST_TEST(HasNoRun(kJob));
  // The record may be accepted later.
  store.RefuseCommitsOf("");
  for (int i = 0; i < 100 && HasNoRun(kJob); ++i) {
    time.Advance(100);
    const auto begin = store.CommitCount();
    RunUntil([&] { return !HasNoRun(kJob) || store.CommitCount() >= begin; });
    io.run_one();
  }
  RunUntil([&] { return !HasNoRun(kJob); });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node
