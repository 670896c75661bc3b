#include <algorithm>
#include <utility>

#include "src/base/log.h"
#include "src/jobs/job_machine.h"
#include "src/jobs/job_store_impl.h"

namespace radishwing::jobs {
namespace {

// The process that drives the job may write its batch at the same time.
constexpr int kCancelAttempts = 3;

using platform::kv_item;
using platform::kv_page;
using platform::swap_outcome;
using platform::swap_state;

std::string_view HostOf(std::string_view owner) {
  return owner.substr(0, owner.find('#'));
}

bool HasLiveJobs(const job_batch& batch) {
  return std::any_of(
      batch.jobs.begin(), batch.jobs.end(),
      [](const auto& item) { return !HasEnded(item.second.state); });
}

// The record of the job with key `key` in an item of the store.
result<job_batch> BatchWith(const job_key& key, const result<kv_item>& item) {
  if (!Ok(item)) return Error(item);
  auto batch = ParseBatch(key.batch, Value(item).value, Value(item).version);
  if (Ok(batch) && !Value(batch).jobs.contains(key.number)) {
    return failure{failure_kind::kNotFound, "no such job"};
  }
  return batch;
}

}  // namespace

void job_store::impl::ReadDue() {
  const millis now = Now();
  for (auto& [host, when] : adopt_after) {
    if (now < when) continue;
    when = now + 2 * options.refresh_ms;  // Erased when it has succeeded.
    FindOrphans(host);
  }
  if (!reading.empty()) return;
  for (auto& [id, batch] : batches) {
    if ((writing && writing->batch == id) || now < batch.read_after) continue;
    if (!batch.must_read && !HasLiveJobs(batch)) continue;
    if (batch.version == 0 && !batch.must_read) continue;
    Read(batch);
    return;
  }
}

void job_store::impl::Read(job_batch& batch) {
  reading = batch.id;
  batch.read_after =
      Now() + (batch.must_read ? options.retry_ms : options.refresh_ms);
  store.Read(BatchKey(options.data_centre, batch.id),
             Guard([id = batch.id](impl& self, result<kv_item> item) {
               self.reading.clear();
               self.OnRead(id, std::move(item));
             }));
}

void job_store::impl::OnRead(const std::string& id, result<kv_item> item) {
  job_batch* mine = FindBatch(id);
  if (!mine) return;
  if (!Ok(item)) {
    if (Error(item).kind != failure_kind::kNotFound) {
      if (auto found = waiters.extract(id)) {
        for (const waiter& waiting : found.mapped()) waiting(false);
      }
      return;
    }
    if (mine->version > 0) return Drop(id);  // Taken over and deleted.
    Merge(*mine, {});
    return;
  }
  auto stored = ParseBatch(id, Value(item).value, Value(item).version);
  if (!Ok(stored)) {
    LogError("jobs", Error(stored).message);
    mine->read_after = Now() + options.refresh_ms;
  } else if (Value(stored).owner != options.owner) {
    LogWarning("jobs", "batch has another owner, batch=" + id +
                           " owner=" + Value(stored).owner);
    Drop(id);
  } else {
    Merge(*mine, std::move(Value(stored)));
  }
}

void job_store::impl::Merge(job_batch& mine, job_batch stored) {
  const bool same = mine.version == stored.version;
  std::vector<std::string> due;
  const auto in_doubt = doubtful.extract(mine.id);
  if (in_doubt) {
    for (std::uint32_t number : in_doubt.mapped()) {
      if (stored.jobs.contains(number)) {
        due.push_back(mine.jobs[number].id);
      } else {
        mine.jobs.erase(number);
      }
    }
  }
  for (auto& [number, theirs] : stored.jobs) {
    const auto found = mine.jobs.find(number);
    if (found == mine.jobs.end()) {
      // Removed here and not yet written, unless it is still live.
      if (HasEnded(theirs.state)) continue;
      due.push_back(theirs.id);
      mine.jobs.emplace(number, std::move(theirs));
    } else if (theirs.cancel && ApplyCancel(found->second)) {
      due.push_back(theirs.id);
    }
  }
  mine.version = stored.version;
  mine.next_number = std::max(mine.next_number, stored.next_number);
  mine.must_read = false;
  mine.read_after = Now() + options.refresh_ms;
  if (!same) mine.dirty = true;
  for (const std::string& id : due) hooks.on_due(id);
}

void job_store::impl::Drop(const std::string& id) {
  auto node = batches.extract(id);
  if (!node) return;
  if (open_batch == id) open_batch.clear();
  doubtful.erase(id);
  for (const auto& [number, job] : node.mapped().jobs) {
    hooks.on_removed(job.id);
  }
  if (auto found = waiters.extract(id)) {
    for (const waiter& waiting : found.mapped()) waiting(false);
  }
}

void job_store::impl::FindOrphans(const std::string& host) {
  const std::string prefix = BatchKey(options.data_centre, "");
  store.ReadPrefix(
      prefix, Guard([host, prefix](impl& self, result<kv_page> page) {
        if (!Ok(page)) {
          self.adopt_after[host] = self.Now() + self.options.retry_ms;
          return;
        }
        self.adopt_after.erase(host);
        for (const kv_item& item : Value(page).items) {
          auto batch = ParseBatch(item.key.substr(prefix.size()), item.value,
                                  item.version);
          if (!Ok(batch)) {
            LogError("jobs", Error(batch).message);
          } else if (HostOf(Value(batch).owner) == host &&
                     Value(batch).owner != self.options.owner) {
            self.orphans.push_back(std::move(Value(batch)));
          }
        }
      }));
}

void job_store::impl::WriteAdoption() {
  job_batch batch = std::move(orphans.front());
  orphans.pop_front();
  const std::string host(HostOf(batch.owner));
  batch.owner = options.owner;
  std::string value = FormatBatch(batch);
  const std::string key = BatchKey(options.data_centre, batch.id);
  const std::uint64_t version = batch.version;
  adopting = true;
  store.Swap(
      {key, version, std::move(value), ""},
      Guard([batch = std::move(batch), host](impl& self, swap_outcome outcome) {
        self.adopting = false;
        if (outcome.state == swap_state::kDone) {
          self.OnAdopted(batch, std::move(outcome));
          return;
        }
        // A conflict may come from a cancellation: only a new read tells
        // whether another process has the batch now.
        LogInfo("jobs", "batch not taken over, batch=" + batch.id +
                            " cause=" + outcome.message);
        self.adopt_after[host] = self.Now() + self.options.retry_ms;
      }));
}

void job_store::impl::OnAdopted(job_batch batch, swap_outcome outcome) {
  batch.version = outcome.version;
  batch.read_after = Now() + options.refresh_ms;
  LogInfo("jobs", "batch taken over, batch=" + batch.id +
                      " jobs=" + std::to_string(batch.jobs.size()));
  std::vector<std::string> due;
  for (const auto& [number, job] : batch.jobs) due.push_back(job.id);
  batches.insert_or_assign(batch.id, std::move(batch));
  for (const std::string& id : due) hooks.on_due(id);
}

void job_store::Load(std::string_view id,
                     std::function<void(result<job_record>)> completion) {
  const auto key = ParseJobId(id);
  if (!Ok(key)) {
    completion(failure{failure_kind::kNotFound, "no such job"});
    return;
  }
  impl_->store.Read(
      BatchKey(Value(key).data_centre, Value(key).batch),
      impl_->Guard([key = Value(key), completion = std::move(completion)](
                       impl&, result<kv_item> item) {
        auto batch = BatchWith(key, item);
        if (!Ok(batch)) {
          completion(Error(batch));
        } else {
          completion(std::move(Value(batch).jobs.at(key.number)));
        }
      }));
}

void job_store::CancelElsewhere(
    std::string_view id, std::string_view team,
    std::function<void(result<job_record>)> completion) {
  const auto key = ParseJobId(id);
  if (!Ok(key)) {
    completion(failure{failure_kind::kNotFound, "no such job"});
    return;
  }
  impl_->MarkCancelled(Value(key), std::string(team), kCancelAttempts,
                       std::move(completion));
}

void job_store::impl::MarkCancelled(
    const job_key& key, const std::string& team, int attempts,
    std::function<void(result<job_record>)> completion) {
  const std::string store_key = BatchKey(key.data_centre, key.batch);
  store.Read(
      store_key, Guard([=](impl& self, const result<kv_item>& item) {
        auto batch = BatchWith(key, item);
        if (!Ok(batch)) return completion(Error(batch));
        job_record& job = Value(batch).jobs.at(key.number);
        if (job.team != team) {
          return completion(failure{failure_kind::kNotFound, "no such job"});
        }
        if (!ApplyCancel(job)) return completion(job);
        self.store.Swap(
            {store_key, Value(batch).version, FormatBatch(Value(batch)), ""},
            self.Guard([=](impl& again, const swap_outcome& outcome) {
              if (outcome.state == swap_state::kDone) {
                completion(job);
              } else if (outcome.state == swap_state::kConflict &&
                         attempts > 1) {
                again.MarkCancelled(key, team, attempts - 1, completion);
              } else {
                completion(
                    failure{failure_kind::kUnavailable, outcome.message});
              }
            }));
      }));
}

}  // namespace radishwing::jobs
