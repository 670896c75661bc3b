#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/jobs/job_batch.h"
#include "src/jobs/job_store.h"

namespace radishwing::jobs {

/// State of a job_store. Writing is in job_store.cc, reading and taking over
/// in job_store_read.cc.
struct job_store::impl : std::enable_shared_from_this<job_store::impl> {
  using waiter = std::function<void(bool)>;

  struct submission {
    job_record job;
    std::function<void(accept_outcome)> completion;  ///< Empty once answered.
    millis answer_by = 0;
    std::size_t bytes = 0;

    void Answer(accept_state state, const std::string& message);
  };

  /// The one write under way.
  struct write {
    std::string batch;
    std::map<std::uint32_t, submission> added;
    std::vector<waiter> waiters;
    bool was_dirty = false;
  };

  impl(boost::asio::io_context& io, platform::kv_store& store,
       job_options options, job_store_hooks hooks);

  /// Wraps a completion so that it runs only while the job_store exists.
  template <typename Handler>
  auto Guard(Handler handler) {
    return [weak = weak_from_this(), handler](auto outcome) {
      const auto self = weak.lock();
      if (self && !self->stopped) handler(*self, std::move(outcome));
    };
  }

  millis Now() const { return options.clock.Now(); }
  job_batch* FindBatch(std::string_view id);

  void ScheduleTick();
  void Tick();
  /// Starts the most urgent write, if one may start now.
  void Pump();
  void AnswerOverdue();
  job_batch& OpenBatch();
  void WriteSubmissions();
  bool WriteDirty();
  void Write(job_batch& batch, write w);
  void Delete(job_batch& batch);
  void OnWritten(platform::swap_outcome outcome);
  void OnAccepted(write& w);
  void TakeBack(write& w, job_batch& batch,
                const platform::swap_outcome& outcome);

  void ReadDue();
  void Read(job_batch& batch);
  void OnRead(const std::string& id, result<platform::kv_item> item);
  void Merge(job_batch& mine, job_batch stored);
  void Drop(const std::string& id);
  void FindOrphans(const std::string& host);
  void WriteAdoption();
  void MarkCancelled(const job_key& key, const std::string& team, int attempts,
                     std::function<void(result<job_record>)> completion);
  void OnAdopted(job_batch batch, platform::swap_outcome outcome);

  boost::asio::io_context& io;
  platform::kv_store& store;
  job_options options;
  job_store_hooks hooks;
  boost::asio::steady_timer timer;
  std::map<std::string, job_batch, std::less<>> batches;
  std::string open_batch;
  std::deque<submission> queue;
  std::size_t queued_bytes = 0;
  std::optional<write> writing;
  std::string reading;  ///< Batch being read; empty: none.
  /// Submissions whose write has an unknown effect, by batch.
  std::map<std::string, std::set<std::uint32_t>> doubtful;
  std::map<std::string, std::vector<waiter>> waiters;
  std::map<std::string, millis> adopt_after;  ///< Hosts to take over, by time.
  std::deque<job_batch> orphans;              ///< Read, to be taken over.
  bool adopting = false;
  bool orphan_turn = false;
  millis next_write = 0;
  bool stopped = false;
};

}  // namespace radishwing::jobs
