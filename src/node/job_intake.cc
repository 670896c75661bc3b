#include "src/node/job_intake.h"

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

#include "src/node/job_record_codec.h"
#include "src/node/record_keys.h"

namespace radishwing::node {
namespace {

// The store accepts 32 entries per commit; each job takes two: a precondition
// and a write.
constexpr std::size_t kMaxJobsPerCommit = 16;
// Limit of concurrent commits. The store responds to each within a few ms, so a
// job that waits for an earlier commit is delayed only slightly.
constexpr int kMaxCommitsInFlight = 3;

}  // namespace

struct job_intake::impl : std::enable_shared_from_this<job_intake::impl> {
  struct pending_job {
    std::string id;      ///< Id of the job.
    std::string record;  ///< Value of the job's key in the store.
    /// Revision of the job's key; 0 before the job is known to be stored.
    std::uint64_t revision = 0;
    completion done;  ///< Called with the outcome of the submission.
    /// An earlier commit of the job got no response, so the store may have
    /// applied it.
    bool may_be_stored = false;
  };
  /// The jobs of one commit.
  using batch = std::shared_ptr<std::vector<pending_job>>;

  impl(node_context& context, stored_hook on_stored)
      : context(context), on_stored(std::move(on_stored)) {}

  void SendCommits();
  void OnCommit(const batch& jobs, result<store::commit_outcome> outcome);
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
      if (std::ranges::find(*jobs, waiting_jobs.front().id, &pending_job::id) !=
          jobs->end()) {
        break;
      }
      pending_job job = std::move(waiting_jobs.front());
      waiting_jobs.pop_front();
      const std::string key = JobKey(job.id);
      commit.preconditions.push_back({key, 0});
      commit.writes.push_back({key, job.record, 0});
      jobs->push_back(std::move(job));
    }
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
  } else {
    for (pending_job& job : *jobs) ReadBack(std::move(job));
  }
  SendCommits();
}

// The store rejected the whole commit. Accepts the jobs that are already stored
// and retries the others.
void job_intake::impl::ResolveConflict(const batch& jobs,
                                       const store::commit_outcome& outcome) {
  const bool conflict_reported = std::ranges::any_of(
      outcome.current,
      [](const store::store_item& item) { return item.revision > 0; });
  for (pending_job& job : *jobs) {
    const std::string key = JobKey(job.id);
    const auto existing = std::ranges::find_if(
        outcome.current, [&](const store::store_item& item) {
          return item.key == key && item.revision > 0;
        });
    if (existing != outcome.current.end()) {
      job.record = existing->value;
      job.revision = existing->revision;
      Complete(job, submission_outcome::kAccepted);
    } else if (conflict_reported) {
      waiting_jobs.push_front(std::move(job));
    } else {
      // The store rejected the commit but reported no existing key, so it is
      // not known whether this job is stored.
      ReadBack(std::move(job));
    }
  }
}

void job_intake::impl::ReadBack(pending_job job) {
  auto shared_job = std::make_shared<pending_job>(std::move(job));
  context.store->Get(
      JobKey(shared_job->id),
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
    on_stored(job.id, job.record, job.revision);
  }
  job.done(outcome);
}

job_intake::job_intake(node_context& context, stored_hook on_stored)
    : impl_(std::make_shared<impl>(context, std::move(on_stored))) {}

job_intake::~job_intake() = default;

void job_intake::Submit(fleet::job_record record, completion done) {
  const std::uint64_t leader_fencing_token =
      impl_->context.members.Leader().fencing_token;
  std::string text = EncodeJobRecord(record, leader_fencing_token);
  impl_->waiting_jobs.push_back({.id = std::move(record.id),
                                 .record = std::move(text),
                                 .done = std::move(done)});
  impl_->SendCommits();
}

}  // namespace radishwing::node
