#include <utility>

#include "src/node/leader_impl.h"
#include "src/node/record_keys.h"

// Removes the keys of finished jobs, and cancel requests without a job, after
// their retention time.

namespace radishwing::node {
namespace {

// Finished jobs are retained this long beyond `job_status_retention_ms`, so
// that repeated submissions are recognized. A repeated submission arrives
// within seconds of the response, and the store carries out a write without a
// response within seconds too.
constexpr millis kDuplicateSubmitMarginMs = 60000;
// The store accepts 32 entries per commit. The precondition on the shard's key
// takes one, each job four, each cancel request three.
constexpr std::size_t kMaxJobsPerRemoval = 7;
constexpr std::size_t kMaxCancelsPerRemoval = 10;
// Delay before a failed removal is repeated.
constexpr millis kRemovalRetryDelayMs = 500;

}  // namespace

void leader::impl::RemoveExpiredKeys() {
  const millis now = context.now.Now();
  if (ended || removal_in_flight || saves_in_flight > 0 ||
      now < next_removal_at) {
    return;
  }
  const millis retention_ms =
      context.settings.job_status_retention_ms + kDuplicateSubmitMarginMs;
  const std::vector<std::string> jobs =
      scheduler.ExpiredJobs(now, retention_ms, kMaxJobsPerRemoval);
  if (!jobs.empty()) return RemoveJobs(jobs);
  const std::vector<sched::early_cancels::request> cancels =
      scheduler.EarlyCancels().Expired(now, retention_ms,
                                       kMaxCancelsPerRemoval);
  if (!cancels.empty()) RemoveCancels(cancels);
}

void leader::impl::RemoveJobs(const std::vector<std::string>& jobs) {
  store::store_commit commit;
  for (const std::string& id : jobs) {
    // A removal without a response may be carried out later, when another job
    // has been stored under the same id.
    commit.preconditions.push_back(
        {JobKey(id), scheduler.FindJob(id)->record.stored_revision});
    commit.removals.push_back(JobKey(id));
    commit.removals.push_back(CancelKey(id));
    commit.removals.push_back(ProgressKey(id));
  }
  CommitRemoval(std::move(commit), [this, jobs] {
    for (const std::string& id : jobs) scheduler.DropJob(id);
    context.log.Info(
        "jobs", "expired jobs removed, jobs=" + std::to_string(jobs.size()));
  });
}

void leader::impl::RemoveCancels(
    const std::vector<sched::early_cancels::request>& cancels) {
  store::store_commit commit;
  for (const sched::early_cancels::request& cancel : cancels) {
    commit.preconditions.push_back({JobKey(cancel.job), 0});
    commit.preconditions.push_back({CancelKey(cancel.job), cancel.revision});
    commit.removals.push_back(CancelKey(cancel.job));
  }
  CommitRemoval(std::move(commit), [this, cancels] {
    for (const sched::early_cancels::request& cancel : cancels) {
      scheduler.EarlyCancels().Remove(cancel.job);
    }
    context.log.Info("jobs", "cancel requests without a job removed, cancels=" +
                                 std::to_string(cancels.size()));
  });
}

void leader::impl::CommitRemoval(store::store_commit commit,
                                 std::function<void()> on_removed) {
  commit.preconditions.push_back({ShardKey(), fencing_token});
  removal_in_flight = true;
  context.store->Commit(
      commit, [weak = weak_from_this(), on_removed = std::move(on_removed)](
                  result<store::commit_outcome> outcome) {
        const auto self = weak.lock();
        if (self && !self->ended) self->OnRemovalDone(outcome, on_removed);
      });
}

void leader::impl::OnRemovalDone(const result<store::commit_outcome>& outcome,
                                 const std::function<void()>& on_removed) {
  removal_in_flight = false;
  context.metrics.CountRemoval(!Ok(outcome)               ? "failed"
                               : Value(outcome).committed ? "removed"
                                                          : "conflict");
  if (!Ok(outcome)) {
    context.log.Warning("jobs", "removal of expired keys failed, error=" +
                                    Error(outcome).message);
    next_removal_at = context.now.Now() + kRemovalRetryDelayMs;
    return;
  }
  if (!Value(outcome).committed) return ResolveConflict(Value(outcome));
  on_removed();
  RemoveExpiredKeys();
}

}  // namespace radishwing::node
