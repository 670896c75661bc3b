#include <algorithm>
#include <iterator>
#include <utility>

#include "src/sched/progress_codec.h"
#include "src/sched/scheduler.h"

// Writes of the jobs' progress to the store, and what follows from their
// outcomes.

namespace radishwing::sched {
namespace {

// Delay before a write that the store refuses, or would refuse, is tried again.
// The record may have become shorter by then.
constexpr millis kRefusedWriteDelayMs = 2000;
// Number of conflicts in a row after which a job is written on its own, so that
// it does not fail the commits of other jobs for ever.
constexpr int kMaxSharedConflicts = 2;

}  // namespace

void scheduler::HoldWrite(job_state& job, millis now) {
  job.write_held_until = now + kRefusedWriteDelayMs;
  job.write_urgent = true;
  DropDeferredRuns(job);
}

std::vector<pending_write> scheduler::TakeWrites(std::size_t limit, millis now,
                                                 millis deferral,
                                                 std::size_t max_entries) {
  std::vector<pending_write> writes;
  std::deque<std::string> deferred;
  std::size_t entries = 0;
  while (!write_queue_.empty() && writes.size() < limit) {
    std::string id = write_queue_.front();
    job_state& job = *jobs_.at(id);
    if (job.write_considered_at < 0) job.write_considered_at = now;
    const bool waits_for_ends =
        !job.write_urgent && now - job.write_considered_at < deferral;
    if (waits_for_ends || now < job.write_held_until) {
      write_queue_.pop_front();
      deferred.push_back(std::move(id));
      continue;
    }
    if (job.write_alone && !writes.empty()) break;
    pending_write write{std::move(id), job.progress_version,
                        job.record_revision, 0, ""};
    if (job.record_revision == 0)
      write.job_revision = job.record.stored_revision;
    if (entries + write.EntryCount() > max_entries) break;
    write.text = EncodeProgress(job, max_record_bytes_);
    write_queue_.pop_front();
    if (write.text.size() > max_record_bytes_) {
      HoldWrite(job, now);
      events_.push_back({event_kind::kRecordRefused,
                         {.job = write.job},
                         0,
                         "",
                         "too_long",
                         0});
      deferred.push_back(std::move(write.job));
      continue;
    }
    entries += write.EntryCount();
    job.write_queued = false;
    job.write_urgent = false;
    job.write_in_flight = true;
    ++writes_in_flight_;
    writes.push_back(std::move(write));
    if (job.write_alone) break;
  }
  write_queue_.insert(write_queue_.begin(),
                      std::make_move_iterator(deferred.begin()),
                      std::make_move_iterator(deferred.end()));
  return writes;
}

bool scheduler::IsStoreBlocked(millis now) const {
  if (store_writable_) return false;
  // Without a write that could show that the store accepts writes again, a
  // write of a waiting job has to.
  return writes_in_flight_ > 0 ||
         std::ranges::any_of(write_queue_, [&](const std::string& id) {
           return jobs_.at(id)->write_held_until <= now;
         });
}

void scheduler::ReportWriteSuccess(const std::string& job,
                                   std::uint64_t version,
                                   std::uint64_t revision) {
  writes_in_flight_ = std::max(0, writes_in_flight_ - 1);
  store_writable_ = true;
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return;
  job_state& state = *it->second;
  state.persisted_version = std::max(state.persisted_version, version);
  state.record_revision = revision;
  state.write_in_flight = false;
  state.write_alone = false;
  state.write_conflicts = 0;
  newly_recorded_jobs_.push_back(job);
  if (state.persisted_version != state.progress_version) QueueWrite(state);
}

void scheduler::ReportWriteFailure(const std::string& job, write_failure kind,
                                   millis now) {
  writes_in_flight_ = std::max(0, writes_in_flight_ - 1);
  store_writable_ = kind != write_failure::kUnavailable;
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return;
  job_state& state = *it->second;
  state.write_in_flight = false;
  state.write_urgent = true;
  DropDeferredRuns(state);
  if (kind == write_failure::kConflict) {
    state.write_alone |= ++state.write_conflicts >= kMaxSharedConflicts;
  } else if (kind == write_failure::kRefusedWithOthers) {
    state.write_alone = true;
  } else if (kind == write_failure::kRefused) {
    HoldWrite(state, now);
    events_.push_back({event_kind::kRecordRefused,
                       {.job = job},
                       0,
                       "",
                       "refused_by_the_store",
                       0});
  }
  QueueWrite(state);
}

bool scheduler::IsPersisted(const std::string& job,
                            std::uint64_t version) const {
  const job_state* state = FindJob(job);
  return !state || state->persisted_version >= version;
}

}  // namespace radishwing::sched
