#include "src/jobs/job_store.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "src/base/sha256.h"
#include "src/jobs/job_store_impl.h"

namespace radishwing::jobs {
namespace {

using platform::swap_outcome;
using platform::swap_state;

// A batch takes new jobs up to this size. It is written whole at each change,
// so a larger one costs more per write, a smaller one more writes.
constexpr std::size_t kOpenBatchBytes = 128u << 10;

}  // namespace

void job_store::impl::submission::Answer(accept_state state,
                                         const std::string& message) {
  if (!completion) return;
  std::exchange(completion, nullptr)(
      {state, state == accept_state::kAccepted ? job.id : "", message});
}

job_store::impl::impl(boost::asio::io_context& io, platform::kv_store& store,
                      job_options options, job_store_hooks hooks)
    : io(io),
      store(store),
      options(std::move(options)),
      hooks(std::move(hooks)),
      timer(io) {}

job_batch* job_store::impl::FindBatch(std::string_view id) {
  const auto found = batches.find(id);
  return found == batches.end() ? nullptr : &found->second;
}

void job_store::impl::ScheduleTick() {
  timer.expires_after(std::chrono::milliseconds(options.tick_ms));
  timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (!self || error || self->stopped) return;
    self->Tick();
    if (!self->stopped) self->ScheduleTick();
  });
}

void job_store::impl::Tick() {
  AnswerOverdue();
  ReadDue();
  Pump();
}

void job_store::impl::Pump() {
  if (stopped || writing || adopting || Now() < next_write) return;
  orphan_turn = !orphan_turn;
  if (!orphans.empty() && (queue.empty() || orphan_turn)) {
    WriteAdoption();
  } else if (!queue.empty()) {
    WriteSubmissions();
  } else if (!WriteDirty()) {
    return;
  }
  next_write = Now() + options.write_ms;
}

void job_store::impl::AnswerOverdue() {
  const millis now = Now();
  while (!queue.empty() && queue.front().answer_by <= now) {
    submission late = std::move(queue.front());
    queue.pop_front();
    queued_bytes -= late.bytes;
    late.Answer(accept_state::kNotDone, "the store is slow or out of reach");
  }
  if (!writing) return;
  for (auto& [number, late] : writing->added) {
    if (late.answer_by <= now) {
      late.Answer(accept_state::kUnknown, "the store has not answered");
    }
  }
}

job_batch& job_store::impl::OpenBatch() {
  job_batch* open = FindBatch(open_batch);
  if (open && !open->must_read && open->id != reading &&
      open->bytes < kOpenBatchBytes) {
    return *open;
  }
  open_batch = RandomHex(8);
  job_batch& batch = batches[open_batch];
  batch.id = open_batch;
  batch.owner = options.owner;
  batch.read_after = Now() + options.refresh_ms;
  return batch;
}

void job_store::impl::WriteSubmissions() {
  job_batch& batch = OpenBatch();
  write w;
  while (!queue.empty() && batch.bytes < kOpenBatchBytes) {
    submission next = std::move(queue.front());
    queue.pop_front();
    queued_bytes -= next.bytes;
    const std::uint32_t number = batch.next_number++;
    next.job.id = FormatJobId({options.data_centre, batch.id, number});
    batch.bytes += next.bytes;
    batch.jobs[number] = next.job;
    w.added.emplace(number, std::move(next));
  }
  Write(batch, std::move(w));
}

bool job_store::impl::WriteDirty() {
  // Awaited batches first, then the one that has waited longest: a batch that
  // changes all the time must not hold up the others.
  job_batch* next = nullptr;
  bool next_awaited = false;
  for (auto& [id, batch] : batches) {
    if (!batch.dirty || batch.must_read || id == reading) continue;
    const bool awaited = waiters.contains(id);
    if (Now() < batch.write_after && !awaited) continue;
    if (!next || awaited > next_awaited ||
        (awaited == next_awaited && batch.write_after < next->write_after)) {
      next = &batch;
      next_awaited = awaited;
    }
  }
  if (!next) return false;
  if (next->jobs.empty() && next->version > 0) {
    Delete(*next);
  } else {
    Write(*next, {});
  }
  return true;
}

void job_store::impl::Write(job_batch& batch, write w) {
  w.batch = batch.id;
  w.was_dirty = std::exchange(batch.dirty, false);
  if (auto found = waiters.extract(batch.id)) {
    w.waiters = std::move(found.mapped());
  }
  writing = std::move(w);
  std::string value = FormatBatch(batch);
  batch.bytes = value.size();
  store.Swap({BatchKey(options.data_centre, batch.id), batch.version,
              std::move(value), ""},
             Guard([](impl& self, swap_outcome outcome) {
               self.OnWritten(std::move(outcome));
             }));
}

void job_store::impl::Delete(job_batch& batch) {
  if (open_batch == batch.id) open_batch.clear();
  writing = write{batch.id, {}, {}, true};
  batch.dirty = false;
  store.Delete(BatchKey(options.data_centre, batch.id), batch.version,
               Guard([id = batch.id](impl& self, swap_outcome outcome) {
                 self.writing.reset();
                 job_batch* left = self.FindBatch(id);
                 if (!left) return;
                 if (outcome.state == swap_state::kDone) {
                   self.batches.erase(id);
                 } else {
                   left->must_read = true;
                   left->dirty = true;
                 }
               }));
}

void job_store::impl::OnWritten(swap_outcome outcome) {
  write w = std::move(*writing);
  writing.reset();
  job_batch* batch = FindBatch(w.batch);
  if (!batch) return;
  if (outcome.state == swap_state::kDone) {
    batch->version = outcome.version;
    OnAccepted(w);
  } else {
    batch->dirty = batch->dirty || w.was_dirty || !w.waiters.empty();
    batch->write_after = Now() + options.settle_ms;
    batch->must_read = outcome.state != swap_state::kNotDone;
    if (batch->must_read) batch->read_after = Now();
    if (outcome.state == swap_state::kUnknown) {
      for (auto& [number, added] : w.added) {
        doubtful[w.batch].insert(number);
        added.Answer(accept_state::kUnknown, outcome.message);
      }
    } else {
      TakeBack(w, *batch, outcome);
    }
  }
  const bool written = outcome.state == swap_state::kDone;
  for (const waiter& waiting : w.waiters) waiting(written);
  Pump();
}

void job_store::impl::OnAccepted(write& w) {
  std::vector<std::string> due;
  for (const auto& [number, added] : w.added) due.push_back(added.job.id);
  for (auto& [number, added] : w.added) {
    added.Answer(accept_state::kAccepted, "");
  }
  for (const std::string& id : due) hooks.on_due(id);
}

// Removes submissions that were not written from their batch. After a conflict
// they go into another batch.
void job_store::impl::TakeBack(write& w, job_batch& batch,
                               const swap_outcome& outcome) {
  const bool again = outcome.state == swap_state::kConflict;
  for (auto it = w.added.rbegin(); it != w.added.rend(); ++it) {
    submission& added = it->second;
    batch.jobs.erase(it->first);
    batch.bytes -= std::min(batch.bytes, added.bytes);
    if (again && added.completion) {
      queued_bytes += added.bytes;
      queue.push_front(std::move(added));
    } else {
      added.Answer(accept_state::kNotDone, outcome.message);
    }
  }
}

job_store::job_store(boost::asio::io_context& io, platform::kv_store& store,
                     job_options options, job_store_hooks hooks)
    : impl_(std::make_shared<impl>(io, store, std::move(options),
                                   std::move(hooks))) {
  impl_->ScheduleTick();
}

job_store::~job_store() {
  impl_->stopped = true;
  impl_->timer.cancel();
}

void job_store::Adopt(std::string_view host) {
  const millis now = impl_->Now();
  impl_->adoptions[std::string(host)] = {now,
                                         now + 2 * impl_->options.refresh_ms};
}

void job_store::Append(job_record job,
                       std::function<void(accept_outcome)> completion) {
  const std::size_t bytes = StoredBytes(job);
  impl_->queued_bytes += bytes;
  impl_->queue.push_back({std::move(job), std::move(completion),
                          impl_->Now() + impl_->options.answer_ms, bytes});
  // Posted, so that submissions that arrive together share a write.
  boost::asio::post(impl_->io, [weak = impl_->weak_from_this()] {
    if (const auto self = weak.lock()) self->Pump();
  });
}

void job_store::ForEach(
    const std::function<void(const job_record&)>& visit) const {
  for (const auto& [id, batch] : impl_->batches) {
    for (const auto& [number, job] : batch.jobs) visit(job);
  }
}

bool job_store::Adopting() const {
  return impl_->adopting || !impl_->adoptions.empty() ||
         !impl_->orphans.empty();
}

job_record* job_store::Find(std::string_view id) {
  const auto key = ParseJobId(id);
  if (!Ok(key) || Value(key).data_centre != impl_->options.data_centre) {
    return nullptr;
  }
  job_batch* batch = impl_->FindBatch(Value(key).batch);
  if (!batch) return nullptr;
  const auto found = batch->jobs.find(Value(key).number);
  return found == batch->jobs.end() ? nullptr : &found->second;
}

void job_store::Touch(std::string_view id,
                      std::function<void(bool)> completion) {
  const auto key = ParseJobId(id);
  job_batch* batch = Ok(key) ? impl_->FindBatch(Value(key).batch) : nullptr;
  if (!batch) {
    if (completion) completion(false);
    return;
  }
  if (!batch->dirty) {
    batch->dirty = true;
    batch->write_after = impl_->Now() + impl_->options.settle_ms;
  }
  if (completion) impl_->waiters[batch->id].push_back(std::move(completion));
}

void job_store::Remove(std::string_view id) {
  const auto key = ParseJobId(id);
  job_batch* batch = Ok(key) ? impl_->FindBatch(Value(key).batch) : nullptr;
  if (batch && batch->jobs.erase(Value(key).number) > 0) Touch(id);
}

std::size_t job_store::Jobs() const {
  std::size_t jobs = impl_->queue.size();
  for (const auto& [id, batch] : impl_->batches) jobs += batch.jobs.size();
  return jobs;
}

std::size_t job_store::Bytes() const {
  std::size_t bytes = impl_->queued_bytes;
  for (const auto& [id, batch] : impl_->batches) bytes += batch.bytes;
  return bytes;
}

}  // namespace radishwing::jobs
