#include <algorithm>

#include "src/node/leader_impl.h"
#include "src/node/record_keys.h"

// Removes the keys of jobs whose retention time has passed.

namespace radishwing::node {
namespace {

// Finished jobs are retained this long beyond `job_status_retention_ms`, so
// that repeated submissions are recognized. A repeated submission arrives
// within seconds of the response.
constexpr millis kDuplicateSubmitMarginMs = 60000;
// The store accepts 32 entries per commit. The precondition on the shard's key
// takes one, each job takes four.
constexpr std::size_t kMaxJobsPerRemoval = 7;
// Delay before a failed removal is repeated.
constexpr millis kRemovalRetryDelayMs = 500;

}  // namespace

void leader::impl::RemoveExpiredJobs() {
  const millis now = context.now.Now();
  if (ended || removal_in_flight || saves_in_flight > 0 ||
      now < next_removal_at) {
    return;
  }
  const std::vector<std::string> jobs = scheduler.ExpiredJobs(
      now, context.settings.job_status_retention_ms + kDuplicateSubmitMarginMs,
      kMaxJobsPerRemoval);
  if (jobs.empty()) return;
  store::store_commit commit;
  commit.preconditions.push_back({ShardKey(), fencing_token});
  for (const std::string& id : jobs) {
    // A removal without a response may be carried out later, when another job
    // has been stored under the same id.
    commit.preconditions.push_back(
        {JobKey(id), scheduler.FindJob(id)->record.stored_revision});
    commit.removals.push_back(JobKey(id));
    commit.removals.push_back(CancelKey(id));
    commit.removals.push_back(ProgressKey(id));
  }
  removal_in_flight = true;
  context.store->Commit(commit, [weak = weak_from_this(),
                                 jobs](result<store::commit_outcome> outcome) {
    const auto self = weak.lock();
    if (self && !self->ended) self->OnRemovalDone(jobs, outcome);
  });
}

void leader::impl::OnRemovalDone(const std::vector<std::string>& jobs,
                                 const result<store::commit_outcome>& outcome) {
  removal_in_flight = false;
  const std::string count = std::to_string(jobs.size());
  if (!Ok(outcome)) {
    context.log.Warning("jobs", "removal of expired jobs failed, jobs=" +
                                    count + " error=" + Error(outcome).message);
    next_removal_at = context.now.Now() + kRemovalRetryDelayMs;
    return;
  }
  if (!Value(outcome).committed) return ResolveConflict(Value(outcome));
  for (const std::string& id : jobs) scheduler.DropJob(id);
  context.log.Info("jobs", "expired jobs removed, jobs=" + count);
  RemoveExpiredJobs();
}

}  // namespace radishwing::node
