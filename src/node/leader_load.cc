#include <algorithm>
#include <boost/json.hpp>
#include <chrono>

#include "platform/runner_codec.h"
#include "platform/store_keys.h"
#include "src/node/job_record_codec.h"
#include "src/node/leader_impl.h"
#include "src/node/record_keys.h"

// Takeover: loads the runner set and the job progress that earlier leaders
// stored, then watches runners and jobs.

namespace radishwing::node {
namespace json = boost::json;
namespace {

// Delay before a failed call to the store is repeated.
constexpr millis kRetryDelayMs = 150;
// Pause between two watch calls for jobs. Usually, the node that accepts a job
// or a cancel request notifies the leader at once. The pause causes a delay
// only if that notification is lost.
constexpr millis kJobWatchGapMs = 900;
// Longest times for which the store waits for a change before it responds to a
// watch call for jobs or for runners.
constexpr millis kJobWatchWaitMs = 50;
constexpr millis kRunnerWatchWaitMs = 1000;

// Decodes the stored runner set, a JSON array of rows [id, pool, address, data
// centre]. Malformed rows are ignored.
std::vector<fleet::runner_report> DecodeRunnerSet(const std::string& text) {
  std::vector<fleet::runner_report> runners;
  boost::system::error_code error;
  const json::value parsed = json::parse(text, error);
  if (error || !parsed.is_array()) return runners;
  for (const json::value& entry : parsed.get_array()) {
    if (!entry.is_array() || entry.get_array().size() != 4) continue;
    const json::array& row = entry.get_array();
    if (!std::ranges::all_of(row, &json::value::is_string)) continue;
    fleet::runner_report runner;
    runner.id = row[0].get_string().c_str();
    runner.pool = row[1].get_string().c_str();
    runner.address = row[2].get_string().c_str();
    runner.data_centre = row[3].get_string().c_str();
    runners.push_back(std::move(runner));
  }
  return runners;
}

}  // namespace

void leader::impl::RetryLater(std::function<void()> callback) {
  retry_timer.expires_after(std::chrono::milliseconds(kRetryDelayMs));
  retry_timer.async_wait(
      [weak = weak_from_this(),
       callback = std::move(callback)](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->ended) callback();
      });
}

void leader::impl::LogTakeoverDelay(std::string_view reading,
                                    const failure& error) {
  context.log.Info("leader",
                   "takeover delayed, fence=" + std::to_string(fencing_token) +
                       " reading=" + std::string(reading) + " since_ms=" +
                       std::to_string(context.now.Now() - load_started_at) +
                       " error=" + error.message);
}

void leader::impl::StartTakeover() { LoadRunnerSet(); }

void leader::impl::LoadRunnerSet() {
  context.store->Get(RunnerSetKey(), [weak = weak_from_this()](
                                         result<store::store_item> item) {
    const auto self = weak.lock();
    if (!self || self->ended) return;
    if (!Ok(item)) {
      self->LogTakeoverDelay("runner set", Error(item));
      return self->RetryLater([raw = self.get()] { raw->LoadRunnerSet(); });
    }
    self->runner_set_revision = Value(item).revision;
    std::set<std::string> ids;
    for (const auto& runner : DecodeRunnerSet(Value(item).value)) {
      ids.insert(runner.id);
      self->scheduler.AddUnlistedRunner(runner.id, runner.pool,
                                        runner.data_centre);
      self->unregistered_since[runner.id] = self->context.now.Now();
      self->AddLink(runner, self->predecessor_lease_end);
    }
    self->runner_set_record.NoteRecordRead(std::move(ids));
    self->runner_set_loaded = true;
    self->WatchRunners();
    self->LoadProgress("");
  });
}

void leader::impl::LoadProgress(const std::string& after) {
  context.store->ReadPage(
      std::string(kProgressPrefix), after,
      [weak = weak_from_this(), after](result<store::store_page> page) {
        const auto self = weak.lock();
        if (!self || self->ended) return;
        if (!Ok(page)) {
          self->LogTakeoverDelay("progress", Error(page));
          return self->RetryLater(
              [raw = self.get(), after] { raw->LoadProgress(after); });
        }
        std::string last;
        for (store::store_item& item : Value(page).items) {
          last = item.key;
          self->loaded_progress[item.key.substr(kProgressPrefix.size())] =
              std::move(item);
        }
        if (Value(page).has_more && !last.empty()) {
          return self->LoadProgress(last);
        }
        self->WatchJobs();
      });
}

void leader::impl::WatchRunners() {
  store_watch_options options;
  options.prefix = platform::kRunnerKeyPrefix;
  options.wait_ms = kRunnerWatchWaitMs;
  store_watch_hooks hooks;
  hooks.snapshot = [this](const std::vector<store::store_item>& items) {
    ApplyRunnerSnapshot(items);
  };
  hooks.change = [this](const store::store_item& item) {
    ApplyRunnerEntry(item);
  };
  hooks.failed = [this](const failure& error) {
    if (!ready) LogTakeoverDelay("runners", error);
  };
  runner_watch =
      std::make_unique<store_watch>(context.io, *context.store, context.now,
                                    std::move(options), std::move(hooks));
}

void leader::impl::WatchJobs() {
  store_watch_options options;
  options.prefix = kJobPrefix;
  options.wait_ms = kJobWatchWaitMs;
  options.gap_ms = kJobWatchGapMs;
  store_watch_hooks hooks;
  hooks.snapshot = [this](const std::vector<store::store_item>& items) {
    ApplyJobSnapshot(items);
  };
  hooks.change = [this](const store::store_item& item) { ApplyJobEntry(item); };
  hooks.history_lost = [this] { LogRepeatedJobRead("history_discarded"); };
  hooks.failed = [this](const failure& error) {
    if (!ready) LogTakeoverDelay("jobs", error);
  };
  job_watch =
      std::make_unique<store_watch>(context.io, *context.store, context.now,
                                    std::move(options), std::move(hooks));
}

void leader::impl::LogRepeatedJobRead(std::string_view reason) {
  context.log.Warning("jobs",
                      "reading all jobs again, why=" + std::string(reason) +
                          " known=" + std::to_string(scheduler.JobCount()));
}

void leader::impl::ApplyJobSnapshot(
    const std::vector<store::store_item>& entries) {
  int found = 0;
  for (const store::store_item& entry : entries) {
    const std::string id = entry.key.substr(kJobPrefix.size());
    const bool was_known = scheduler.FindJob(id) != nullptr;
    ApplyJobEntry(entry);
    if (ended) return;
    if (jobs_loaded && !was_known && scheduler.FindJob(id)) {
      ++found;
      context.log.Warning("jobs",
                          "job found by a repeated read, job=" + id +
                              " revision=" + std::to_string(entry.revision));
    }
  }
  if (jobs_loaded) {
    context.log.Info("jobs", "all jobs read again, jobs=" +
                                 std::to_string(scheduler.JobCount()) +
                                 " new=" + std::to_string(found));
  }
  // The leader must not get ready until the skipped jobs are loaded. Otherwise,
  // when a runner lists runs of these jobs, the runs would be stopped as runs
  // of unknown jobs.
  if (jobs_skipped && !jobs_loaded) return;
  jobs_loaded = true;
  loaded_progress.clear();
  MaybeBecomeReady();
}

void leader::impl::ApplyJobEntry(const store::store_item& entry) {
  if (entry.revision == 0 || entry.key.size() <= kJobPrefix.size()) return;
  std::string id = entry.key.substr(kJobPrefix.size());
  const millis now = context.now.Now();
  if (id.ends_with(kCancelSuffix)) {
    id.resize(id.size() - kCancelSuffix.size());
    scheduler.CancelJob(id, now, entry.revision);
    return SchedulePass();
  }
  if (const sched::job_state* known = scheduler.FindJob(id)) {
    // The key of a finished job may have been removed and then created again.
    if (!known->IsFinished() ||
        known->record.stored_revision >= entry.revision) {
      return;
    }
    scheduler.DropJob(id);
  }
  if (!lease.IsExclusive(now)) {
    // Another node may be the leader and may have started this job. After this
    // node's lease is renewed, all jobs are read again.
    jobs_skipped = true;
    return;
  }
  auto job = DecodeJobRecord(id, entry.value);
  if (!Ok(job)) {
    context.log.Warning("jobs", "cannot decode job record, job=" + id +
                                    " error=" + Error(job).message);
    return;
  }
  // The node that accepted the job knew a leader of a later term.
  if (Value(job).leader_fencing_token > fencing_token)
    return EndTerm("fenced by job");
  Value(job).record.stored_revision = entry.revision;
  const auto progress = loaded_progress.find(id);
  // A job without a progress record was never started, because a leader stores
  // the record before it starts the first task.
  const bool restored = progress != loaded_progress.end();
  scheduler.AddJob(std::move(Value(job).record), restored, now,
                   context.unix_now.Now());
  if (!restored) return SchedulePass();
  const auto restore_outcome = scheduler.RestoreProgress(
      id, progress->second.value, progress->second.revision, now);
  if (!Ok(restore_outcome)) {
    context.log.Warning("jobs", "cannot decode job progress, job=" + id +
                                    " error=" + Error(restore_outcome).message);
  }
  SchedulePass();
}

void leader::impl::MaybeBecomeReady() {
  if (ready || !runners_loaded || !jobs_loaded || !context.config) return;
  if (!hosts || !hosts->OrdersLoaded()) return;
  ready = true;
  scheduler.SetConfig(*context.config);
  const millis load_ms = context.now.Now() - load_started_at;
  context.metrics.RecordTakeover(load_ms);
  context.log.InfoUnlimited(
      "leader", "shard taken over, fence=" + std::to_string(fencing_token) +
                    " jobs=" + std::to_string(scheduler.JobCount()) +
                    " took_ms=" + std::to_string(load_ms));
  // Listings that arrived before the jobs were loaded were discarded, so they
  // are requested again.
  for (auto& [id, link] : links) link->ResumePolling();
  SchedulePass();
}

}  // namespace radishwing::node
