#include "src/node/job_intake.h"

#include <algorithm>
#include <deque>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "src/node/job_record_codec.h"
#include "src/node/record_keys.h"

namespace radishwing::node {
namespace {

// The store accepts 32 entries per commit; each job takes three: a write and
// the preconditions on the job's key and on the key of its cancellation.
constexpr std::size_t kMaxJobsPerCommit = 10;
// Limit of concurrent commits. The store responds to each within a few ms, so a
// job that waits for an earlier commit is delayed only slightly.
constexpr int kMaxCommitsInFlight = 3;

// Returns the item with the given key, or null.
const store::store_item* FindItem(std::span<const store::store_item> items,
                                  std::string_view key) {
  const auto it = std::ranges::find(items, key, &store::store_item::key);
  return it == items.end() ? nullptr : &*it;
}

}  // namespace

struct job_intake::impl : std::enable_shared_from_this<job_intake::impl> {
  struct pending_job {
    fleet::job_record job;
    std::uint64_t leader_fencing_token = 0;  ///< See stored_job.
    std::string record;  ///< Value of the job's key in the store.
    /// Revision of the job's key; 0 before the job is known to be stored.
    std::uint64_t revision = 0;
    /// Revision of the key of the job's cancellation; 0: it does not exist. A
    /// job that was cancelled before is accepted as cancelled.
    std::uint64_t cancel_revision = 0;
    completion done;  ///< Called with the outcome of the submission.
    /// An earlier commit of the job got no response, so the store may have
    /// applied it.
    bool may_be_stored = false;
    /// The store has refused a commit with this job and others for good.
    bool alone = false;
  };
  /// The jobs of one commit.
  using batch = std::shared_ptr<std::vector<pending_job>>;

  impl(node_context& context, stored_hook on_stored)
      : context(context), on_stored(std::move(on_stored)) {}

  void SendCommits();
  void OnCommit(const batch& jobs, result<store::commit_outcome> outcome);
  /// Handles a commit that the store refused for good: sends its jobs alone, so
  /// that one of them does not fail the others.
  void OnRefused(const batch& jobs);
  void ResolveConflict(const batch& jobs, const store::commit_outcome& outcome);
  /// Reads the job's key to determine whether the job is stored, after a commit
  /// without a clear response.
  void ReadBack(pending_job job);
  void Complete(pending_job& job, submission_outcome outcome);

  node_context& context;
  stored_hook on_stored;
  std::deque<pending_job> waiting_jobs;
  int commits_in_flight = 0;
};

void job_intake::impl::SendCommits() {
  while (commits_in_flight < kMaxCommitsInFlight && !waiting_jobs.empty()) {
    auto jobs = std::make_shared<std::vector<pending_job>>();
    store::store_commit commit;
    while (!waiting_jobs.empty() && jobs->size() < kMaxJobsPerCommit) {
      // A commit may contain a key only once, so a second submission of the
      // same job waits for the next commit.
      if (std::ranges::any_of(*jobs, [&](const pending_job& job) {
            return job.job.id == waiting_jobs.front().job.id;
          })) {
        break;
      }
      if (waiting_jobs.front().alone && !jobs->empty()) break;
      pending_job job = std::move(waiting_jobs.front());
      waiting_jobs.pop_front();
      const std::string key = JobKey(job.job.id);
      job.job.cancelled = job.cancel_revision > 0;
      job.record = EncodeJobRecord(job.job, job.leader_fencing_token);
      if (job.record.size() > context.settings.max_value_bytes) {
        Complete(job, submission_outcome::kTooLarge);
        continue;
      }
      commit.preconditions.push_back({key, 0});
      commit.preconditions.push_back(
          {CancelKey(job.job.id), job.cancel_revision});
      commit.writes.push_back({key, job.record, 0});
      jobs->push_back(std::move(job));
      if (jobs->back().alone) break;
    }
    if (jobs->empty()) continue;
    ++commits_in_flight;
    context.store->Commit(commit, [weak = weak_from_this(), jobs](
                                      result<store::commit_outcome> outcome) {
      if (const auto self = weak.lock()) self->OnCommit(jobs, outcome);
    });
  }
}

void job_intake::impl::OnCommit(const batch& jobs,
                                result<store::commit_outcome> outcome) {
  --commits_in_flight;
  if (Ok(outcome) && Value(outcome).committed) {
    for (pending_job& job : *jobs) {
      job.revision = Value(outcome).revision;
      Complete(job, submission_outcome::kAccepted);
    }
  } else if (Ok(outcome)) {
    ResolveConflict(jobs, Value(outcome));
  } else if (Error(outcome).kind == failure_kind::kUnavailable) {
    for (pending_job& job : *jobs) {
      Complete(job, job.may_be_stored ? submission_outcome::kUnknown
                                      : submission_outcome::kRefused);
    }
  } else if (Error(outcome).kind == failure_kind::kInvalid) {
    OnRefused(jobs);
  } else {
    for (pending_job& job : *jobs) ReadBack(std::move(job));
  }
  SendCommits();
}

void job_intake::impl::OnRefused(const batch& jobs) {
  if (jobs->size() == 1) {
    pending_job& job = jobs->front();
    if (job.may_be_stored) return ReadBack(std::move(job));
    return Complete(job, submission_outcome::kTooLarge);
  }
  for (pending_job& job : *jobs) {
    job.alone = true;
    waiting_jobs.push_back(std::move(job));
  }
}

// The store rejected the whole commit. Accepts the jobs that are already stored
// and retries the others.
void job_intake::impl::ResolveConflict(const batch& jobs,
                                       const store::commit_outcome& outcome) {
  bool conflict_reported = false;
  std::vector<pending_job> unresolved;
  for (pending_job& job : *jobs) {
    const store::store_item* existing =
        FindItem(outcome.current, JobKey(job.job.id));
    if (existing && existing->revision > 0) {
      conflict_reported = true;
      job.record = existing->value;
      job.revision = existing->revision;
      Complete(job, submission_outcome::kAccepted);
      continue;
    }
    const store::store_item* cancel =
        FindItem(outcome.current, CancelKey(job.job.id));
    if (cancel && cancel->revision != job.cancel_revision) {
      conflict_reported = true;
      job.cancel_revision = cancel->revision;
    }
    unresolved.push_back(std::move(job));
  }
  for (pending_job& job : unresolved) {
    // If the store rejected the commit but reported no changed key, it is not
    // known whether this job is stored.
    if (!conflict_reported) {
      ReadBack(std::move(job));
    } else {
      waiting_jobs.push_front(std::move(job));
    }
  }
}

void job_intake::impl::ReadBack(pending_job job) {
  auto shared_job = std::make_shared<pending_job>(std::move(job));
  context.store->Get(
      JobKey(shared_job->job.id),
      [weak = weak_from_this(), shared_job](result<store::store_item> item) {
        const auto self = weak.lock();
        if (!self) return;
        if (!Ok(item) || Value(item).revision == 0) {
          return self->Complete(*shared_job, submission_outcome::kUnknown);
        }
        shared_job->record = Value(item).value;
        shared_job->revision = Value(item).revision;
        self->Complete(*shared_job, submission_outcome::kAccepted);
      });
}

void job_intake::impl::Complete(pending_job& job, submission_outcome outcome) {
  if (outcome == submission_outcome::kAccepted) {
    on_stored(job.job.id, job.record, job.revision);
  }
  job.done(outcome);
}

job_intake::job_intake(node_context& context, stored_hook on_stored)
    : impl_(std::make_shared<impl>(context, std::move(on_stored))) {}

job_intake::~job_intake() = default;

void job_intake::Submit(fleet::job_record record, completion done) {
  const std::uint64_t leader_fencing_token =
      impl_->context.members.Leader().fencing_token;
  impl::pending_job job;
  job.job = std::move(record);
  job.leader_fencing_token = leader_fencing_token;
  job.done = std::move(done);
  impl_->waiting_jobs.push_back(std::move(job));
  impl_->SendCommits();
}

}  // namespace radishwing::node
