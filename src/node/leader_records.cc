#include <chrono>
#include <utility>

#include "src/node/leader_impl.h"
#include "src/node/record_keys.h"

// Writes the progress of jobs to the store and resolves conflicts with what the
// store has.

namespace radishwing::node {
namespace {

// Delay before changed progress is saved, so that run ends that are reported
// close together share one commit.
constexpr millis kSaveDelayMs = 15;
// Limit of concurrent progress commits. With 15 jobs per commit and a response
// time of the store of a few ms, 3 commits suffice for the run ends of some
// hundred runners.
constexpr int kMaxSavesInFlight = 3;
// The store accepts 32 entries per commit. The precondition on the shard's key
// takes one; each job takes two or, for the first write of its progress, three.
constexpr std::size_t kMaxJobsPerCommit = 15;
constexpr std::size_t kMaxJobEntriesPerCommit = 31;
constexpr std::size_t kMaxEntriesPerJob = 3;

}  // namespace

void leader::impl::AcknowledgeSavedRunEnds() {
  for (auto& [id, ends] : pending_acks) {
    if (!ends.empty()) AcknowledgeSavedRunEnds(id, ends);
  }
}

void leader::impl::AcknowledgeSavedRunEnds(const std::string& runner,
                                           std::deque<pending_ack>& ends) {
  std::uint64_t last_saved_end = 0;
  while (!ends.empty() &&
         (ends.front().job.empty() ||
          scheduler.IsPersisted(ends.front().job,
                                ends.front().progress_version))) {
    last_saved_end = ends.front().end_number;
    ends.pop_front();
  }
  const auto link = links.find(runner);
  if (last_saved_end == 0 || link == links.end()) return;
  link->second->Acknowledge(last_saved_end);
  if (ends.empty()) link->second->ResumePolling();
}

void leader::impl::SaveProgress() {
  if (save_pending || saves_in_flight >= kMaxSavesInFlight || ended) return;
  save_pending = true;
  save_timer.expires_after(std::chrono::milliseconds(kSaveDelayMs));
  save_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->ended) return;
        self->save_pending = false;
        self->CommitQueuedProgress();
      });
}

void leader::impl::CommitQueuedProgress() {
  const millis deferral =
      handing_over ? 0 : context.MeasuredLink().WriteDeferral();
  bool more_queued = true;
  while (more_queued && saves_in_flight < kMaxSavesInFlight) {
    const auto writes =
        scheduler.TakeWrites(kMaxJobsPerCommit, context.now.Now(), deferral,
                             kMaxJobEntriesPerCommit);
    if (writes.empty()) {
      if (saves_in_flight == 0 && on_handover) {
        std::exchange(on_handover, nullptr)();
      }
      return;
    }
    std::size_t entries = 0;
    for (const auto& write : writes) entries += write.EntryCount();
    // The progress that a full commit leaves over has waited for the delay too.
    more_queued = entries + kMaxEntriesPerJob > kMaxJobEntriesPerCommit;
    CommitProgress(writes);
  }
  SaveProgress();
}

void leader::impl::CommitProgress(
    const std::vector<sched::pending_write>& writes) {
  store::store_commit commit;
  commit.preconditions.push_back({ShardKey(), fencing_token});
  for (const sched::pending_write& write : writes) {
    const std::string key = ProgressKey(write.job);
    commit.preconditions.push_back({key, write.record_revision});
    if (write.job_revision > 0) {
      commit.preconditions.push_back({JobKey(write.job), write.job_revision});
    }
    commit.writes.push_back({key, write.text, 0});
  }
  ++saves_in_flight;
  context.store->Commit(commit, [weak = weak_from_this(), writes](
                                    result<store::commit_outcome> outcome) {
    const auto self = weak.lock();
    if (self && !self->ended) self->OnSaveDone(writes, outcome);
  });
}

void leader::impl::OnSaveDone(const std::vector<sched::pending_write>& writes,
                              result<store::commit_outcome> outcome) {
  --saves_in_flight;
  if (Ok(outcome) && Value(outcome).committed) {
    for (const sched::pending_write& write : writes) {
      scheduler.ReportWriteSuccess(write.job, write.progress_version,
                                   Value(outcome).revision);
    }
    AcknowledgeSavedRunEnds();
    SchedulePass();
    return SaveProgress();
  }
  using sched::write_failure;
  const bool refused =
      !Ok(outcome) && Error(outcome).kind == failure_kind::kInvalid;
  const write_failure kind = Ok(outcome) ? write_failure::kConflict
                             : !refused  ? write_failure::kUnavailable
                             : writes.size() > 1
                                 ? write_failure::kRefusedWithOthers
                                 : write_failure::kRefused;
  for (const sched::pending_write& write : writes) {
    scheduler.ReportWriteFailure(write.job, kind, context.now.Now());
  }
  if (Ok(outcome)) {
    ResolveConflict(Value(outcome));
    if (!ended) SaveProgress();
    return;
  }
  context.log.Warning(
      "store", "progress write failed, jobs=" + std::to_string(writes.size()) +
                   " error=" + Error(outcome).message);
  if (refused) return SaveProgress();
  RetryLater([this] { SaveProgress(); });
}

// The store may apply a write although this node got no response to it. A
// progress key can therefore change without a new leader.
void leader::impl::ResolveConflict(const store::commit_outcome& outcome) {
  for (const store::store_item& item : outcome.current) {
    if (item.key == ShardKey()) {
      if (item.revision != fencing_token) return EndTerm("shard key changed");
    } else if (item.key.starts_with(kProgressPrefix)) {
      ResolveProgressConflict(item);
    } else if (item.key.ends_with(kCancelSuffix)) {
      ResolveCancelConflict(item);
    } else if (item.key.starts_with(kJobPrefix)) {
      ResolveJobConflict(item);
      if (ended) return;
    }
  }
}

void leader::impl::ResolveCancelConflict(const store::store_item& item) {
  if (item.revision > 0) return ApplyJobEntry(item);
  std::string id = item.key.substr(kJobPrefix.size());
  id.resize(id.size() - kCancelSuffix.size());
  scheduler.EarlyCancels().Remove(id);
}

void leader::impl::ResolveJobConflict(const store::store_item& item) {
  const std::string id = item.key.substr(kJobPrefix.size());
  const sched::job_state* job = scheduler.FindJob(id);
  if (!job) return ApplyJobEntry(item);
  if (job->record.stored_revision == item.revision) return;
  context.log.Warning(
      "jobs", "job key changed, job=" + id +
                  " revision=" + std::to_string(job->record.stored_revision) +
                  " current_revision=" + std::to_string(item.revision));
  scheduler.DropJob(id);
  ApplyJobEntry(item);
}

void leader::impl::ResolveProgressConflict(const store::store_item& item) {
  const std::string id = item.key.substr(kProgressPrefix.size());
  if (item.revision == 0) return scheduler.ClearRecordRevision(id);
  const sched::job_state* job = scheduler.FindJob(id);
  if (!job || job->record_revision == item.revision) return;
  if (scheduler.MergeProgress(id, item.value, item.revision,
                              context.now.Now())) {
    context.metrics.CountMergedRecord();
    context.log.Warning("jobs",
                        "progress record merged, job=" + id +
                            " revision=" + std::to_string(item.revision));
  }
}

}  // namespace radishwing::node
