#pragma once

#include <boost/asio/steady_timer.hpp>
#include <compare>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/jobs/job_driver.h"
#include "src/jobs/worker_health.h"

namespace radishwing::jobs {

/// State and steps of a job_driver.
struct job_driver::impl : std::enable_shared_from_this<job_driver::impl> {
  enum class token_state { kNone, kAsked, kHeld };

  /// What is known of a job beside its record.
  struct progress {
    std::string team;
    token_state token = token_state::kNone;
    bool busy = false;   ///< A call about it is under way.
    bool again = false;  ///< Became due meanwhile.
    millis next_at = 0;
    millis started_at = 0;
    millis ended_at = -1;
    std::vector<std::string> refused_by;  ///< Hosts without room just now.
  };

  struct due_entry {
    millis when = 0;
    std::string id;
    auto operator<=>(const due_entry&) const = default;
  };

  impl(boost::asio::io_context& io, job_store& store,
       platform::task_client& tasks, job_options options, job_hooks hooks);

  template <typename Handler>
  auto Guard(Handler handler) {
    return [weak = weak_from_this(), handler](auto outcome) {
      const auto self = weak.lock();
      if (self && !self->stopped) handler(*self, std::move(outcome));
    };
  }

  /// Like Guard, for the end of a call to the platform about the job `id`.
  template <typename Handler>
  auto AfterCall(const std::string& id, Handler handler) {
    return Guard([id, handler](impl& self, auto outcome) {
      --self.calls;
      const auto found = self.known.find(id);
      job_record* job = self.store.Find(id);
      if (found != self.known.end() && job) {
        found->second.busy = false;
        handler(self, *job, found->second, std::move(outcome));
        self.LookAgain(id);
      }
      // Waiting for the next tick would limit the rate of calls.
      self.Tick();
    });
  }

  millis Now() const { return options.clock.Now(); }
  void ScheduleTick();
  void Tick();
  void Schedule(const std::string& id, progress& p, millis after);
  void Drive(const std::string& id);
  /// Looks at a job now that became due during a call.
  void LookAgain(const std::string& id);
  void DriveEnded(const std::string& id, progress& p);
  void AskToken(const std::string& id, progress& p);
  void Start(job_record& job, progress& p);
  void OnStarted(job_record& job, progress& p,
                 const platform::start_outcome& outcome);
  void Renew(job_record& job, progress& p);
  void Poll(job_record& job, progress& p);
  void OnPolled(job_record& job, progress& p,
                const result<platform::task_status>& status);
  void Stop(job_record& job, progress& p);
  void BeginCall(progress& p);
  /// Records a change and looks at the job again after `after`.
  void Changed(job_record& job, progress& p, bool changed, millis after);
  void ReleaseToken(progress& p);
  millis PollDelay(const progress& p) const;
  /// Pause after a call that did not reach the platform.
  millis RetryDelay(const progress& p) const;
  std::uint32_t FailureLimit(const job_record& job) const;

  job_store& store;
  platform::task_client& tasks;
  job_options options;
  job_hooks hooks;
  boost::asio::steady_timer timer;
  std::map<std::string, progress> known;
  std::set<due_entry> due;
  worker_health health;
  std::size_t calls = 0;
  millis start_after = 0;  ///< No starts before; set while starts fail.
  bool stopped = false;
};

}  // namespace radishwing::jobs
