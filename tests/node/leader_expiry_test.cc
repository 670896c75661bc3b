#include <boost/test/unit_test.hpp>

#include "tests/node/leader_fixture.h"

namespace radishwing::node {
namespace {

constexpr const char* kExpiredJob = "00000000000000a1";
constexpr const char* kNewJob = "00000000000000a2";
constexpr const char* kMarkerJob = "00000000000000a3";
// Longer than the time for which a finished job is retained.
constexpr millis kLongAfterRetentionMs = 200000;
// Longer than a lease in the store, shorter than the time after which a leader
// without a lease stops.
constexpr millis kLeaseGapMs = 2000;

struct leader_expiry_fixture : leader_fixture {
  /// Lets the retention time pass and waits until a removal has failed because
  /// the store was unavailable.
  void FailRemoval() {
    store.SetUnavailable(true);
    const int refused_before = store.RefusedCommitCount();
    AdvanceWithLease(kLongAfterRetentionMs);
    RunUntil([&] { return store.RefusedCommitCount() > refused_before; });
    store.SetUnavailable(false);
  }

  /// Adds a job while the leader does not know whether it has a lease, then
  /// renews the lease, so that the leader reads all jobs again.
  void ReadAllJobsAgain() {
    time.Advance(kLeaseGapMs);
    subject->AddJob(kNewJob, JobRecord(), StoreJob(kNewJob));
    subject->RecordLeaseRenewal(time.Now());
    RunUntil([&] { return !store.Value(ProgressKey(kNewJob)).empty(); });
  }

  /// Stores a job and waits until the leader has read this and all earlier
  /// changes of jobs.
  void WaitUntilRead(const std::string& marker) {
    StoreJob(marker);
    RunUntil([&] { return subject->JobStatus(marker).known; });
  }
};

BOOST_FIXTURE_TEST_SUITE(leader_expiry, leader_expiry_fixture)

// Guards against running a finished job again whose keys could not be removed
// at the end of its retention time.
BOOST_AUTO_TEST_CASE(job_is_not_run_again_after_its_removal_failed) {
  StoreSucceededJob(kExpiredJob);
  BecomeReady();
  FailRemoval();
  ReadAllJobsAgain();
  const std::string progress = store.Value(ProgressKey(kExpiredJob));
  BOOST_TEST((progress.empty() || progress == SucceededProgress()));
  BOOST_TEST(HasNoRun(kExpiredJob));
}

// Guards against keys that remain in the store forever after a failed removal.
BOOST_AUTO_TEST_CASE(failed_removal_is_repeated) {
  StoreSucceededJob(kExpiredJob);
  BecomeReady();
  FailRemoval();
  RunUntil([&] {
    AdvanceWithLease(kLeaseGapMs / 4);
    return store.Value(JobKey(kExpiredJob)).empty();
  });
  BOOST_TEST(store.Value(ProgressKey(kExpiredJob)).empty());
  RunUntil([&] { return !subject->JobStatus(kExpiredJob).known; });
}

// Guards against losing a job that was accepted under the id of an expired one:
// a removal whose response was lost is carried out after the job was stored.
BOOST_AUTO_TEST_CASE(late_removal_keeps_a_job_that_was_stored_again) {
  StoreSucceededJob(kExpiredJob);
  BecomeReady();
  store.DelayCommitsOf(JobKey(kExpiredJob));
  AdvanceWithLease(kLongAfterRetentionMs);
  RunUntil([&] { return store.DelayedCommitCount() > 0; });
  store.DelayCommitsOf("");
  RunUntil([&] {
    AdvanceWithLease(kLeaseGapMs / 4);
    return store.Value(JobKey(kExpiredJob)).empty();
  });
  StoreJob(kExpiredJob);
  store.ApplyDelayedCommits();
  BOOST_TEST(!store.Value(JobKey(kExpiredJob)).empty());
}

// Guards against cancel requests that stay in the store and in memory forever
// because their job never comes, and against cancelling a job that is accepted
// after the removal.
BOOST_AUTO_TEST_CASE(cancel_request_without_a_job_is_removed) {
  store.Put(CancelKey(kNewJob), "{}");
  BecomeReady();
  AdvanceWithLease(kLongAfterRetentionMs);
  RunUntil([&] { return store.Value(CancelKey(kNewJob)).empty(); });
  subject->AddJob(kNewJob, JobRecord(), StoreJob(kNewJob));
  RunUntil([&] { return !HasNoRun(kNewJob); });
}

// Guards against running a cancelled job whose cancel request was removed while
// a late write of the job could still be carried out.
BOOST_AUTO_TEST_CASE(cancel_request_without_a_job_is_retained) {
  store.Put(CancelKey(kNewJob), "{}");
  StoreSucceededJob(kExpiredJob);
  BecomeReady();
  AdvanceWithLease(kLongAfterRetentionMs / 2);
  store.Put(CancelKey(kNewJob), "{}");
  WaitUntilRead(kMarkerJob);
  AdvanceWithLease(kLongAfterRetentionMs / 2);
  RunUntil([&] {
    AdvanceWithLease(0);
    return store.Value(JobKey(kExpiredJob)).empty();
  });
  BOOST_TEST(!store.Value(CancelKey(kNewJob)).empty());
}

// Guards against a removal without a response that is carried out after the job
// was cancelled once more.
BOOST_AUTO_TEST_CASE(late_removal_keeps_a_newer_cancel_request) {
  store.Put(CancelKey(kNewJob), "{}");
  BecomeReady();
  store.DelayCommitsOf(CancelKey(kNewJob));
  AdvanceWithLease(kLongAfterRetentionMs);
  RunUntil([&] { return store.DelayedCommitCount() > 0; });
  store.Put(CancelKey(kNewJob), "{}");
  store.ApplyDelayedCommits();
  BOOST_TEST(!store.Value(CancelKey(kNewJob)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node
