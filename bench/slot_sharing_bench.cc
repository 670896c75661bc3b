#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "bench/bench_case.h"
#include "src/base/clock.h"
#include "src/routing/slot_sharing.h"

namespace radishwing::bench {
namespace {

using namespace routing;

constexpr std::uint32_t kEntries = 8;
constexpr std::uint32_t kSlots = 8;
constexpr millis kLengthMs = 60'000;
constexpr millis kOneWayMs = 1;
// Longest pause of an entry after a rejection, as in runner_group.
constexpr millis kPauseMs = 8;
constexpr double kMeanRunMs = 200;
// A mean demand of half the slots, times 5.
constexpr double kLoad = 2.5;
constexpr std::size_t kQueueLimit = 400;

/// 8 entries that share the runners by one policy, in steps of 1 ms. An entry
/// has at most one attempt on its way to each runner.
class sharing_run {
 public:
  sharing_run(slot_policy policy, std::uint32_t runners, std::uint64_t seed)
      : random_(seed),
        sharing_(runners, slot_sharing(policy, kSlots, kEntries)),
        free_at_(runners * kEntries),
        queues_(kEntries) {}

  std::vector<figure> Run(const std::string& name) {
    for (now_ = 0; now_ < kLengthMs; ++now_) {
      Generate();
      while (!events_.empty() && events_.top().at <= now_) {
        const event next = events_.top();
        events_.pop();
        Handle(next);
      }
      for (std::uint32_t i = 0; i < kEntries; ++i) Dispatch(i);
      Account();
    }
    const auto slots = static_cast<double>(sharing_.size()) * kSlots;
    return {
        {name + ", answered", 1000.0 * answered_ / kLengthMs, "1/s", "", false},
        {name + ", mean wait of started work", wait_ms_ / started_, "ms", "",
         false},
        {name + ", refused attempts or grants", 100 * refused_ / attempts_, "%",
         "", false},
        {name + ", slots idle while work waits",
         100 * idle_ms_ / (slots * kLengthMs), "%", "", false}};
  }

 private:
  enum class step { kAsked, kArrive, kEnd };
  struct event {
    millis at = 0;
    step what{};
    std::uint32_t entry = 0;
    std::uint32_t runner = 0;
    millis since = 0;  ///< Arrival of the request.
    bool operator>(const event& other) const { return at > other.at; }
  };

  void Generate() {
    const double rate =
        kLoad * static_cast<double>(sharing_.size()) * kSlots / kMeanRunMs / 36;
    for (std::uint32_t i = 0; i < kEntries; ++i) {
      // Entry i gets i + 1 parts of 36.
      std::poisson_distribution<int> arrivals(rate * (i + 1));
      for (int n = arrivals(random_); n > 0; --n) {
        if (queues_[i].size() < kQueueLimit) queues_[i].push_back(now_);
      }
    }
  }

  void Dispatch(std::uint32_t entry) {
    const auto runners = static_cast<std::uint32_t>(sharing_.size());
    const auto start = static_cast<std::uint32_t>(random_() % runners);
    for (std::uint32_t i = 0; i < runners && !queues_[entry].empty(); ++i) {
      const std::uint32_t runner = (start + i) % runners;
      millis& free_at = free_at_[entry * runners + runner];
      if (now_ < free_at) continue;
      const slot_decision decision = sharing_[runner].MaySend(entry);
      if (decision == slot_decision::kWait) continue;
      const bool ask = decision == slot_decision::kAsk;
      free_at = now_ + (ask ? 2 : 1) * kOneWayMs + 1;
      ++attempts_;
      events_.push({now_ + (ask ? 2 : 1) * kOneWayMs,
                    ask ? step::kAsked : step::kArrive, entry, runner,
                    queues_[entry].front()});
      queues_[entry].pop_front();
    }
  }

  void Refuse(const event& at) {
    ++refused_;
    queues_[at.entry].push_front(at.since);
    free_at_[at.entry * sharing_.size() + at.runner] = now_ + kPauseMs;
  }

  void Handle(event at) {
    slot_sharing& sharing = sharing_[at.runner];
    if (at.what == step::kEnd) {
      ++answered_;
      return sharing.Release(at.entry);
    }
    if (at.what == step::kAsked) {
      if (!sharing.Grant(at.entry)) return Refuse(at);
      at.what = step::kArrive;
      at.at = now_ + kOneWayMs;
      return events_.push(at);
    }
    if (!sharing.Arrive(at.entry)) return Refuse(at);
    ++started_;
    wait_ms_ += static_cast<double>(now_ - at.since);
    std::exponential_distribution<double> run(1 / kMeanRunMs);
    at.what = step::kEnd;
    at.at = now_ + 1 + static_cast<millis>(run(random_));
    events_.push(at);
  }

  void Account() {
    bool waiting = false;
    for (const auto& queue : queues_) waiting = waiting || !queue.empty();
    if (!waiting) return;
    for (const auto& sharing : sharing_) idle_ms_ += kSlots - sharing.Running();
  }

  std::mt19937_64 random_;
  std::vector<slot_sharing> sharing_;
  std::vector<millis> free_at_;  ///< By entry and runner.
  std::vector<std::deque<millis>> queues_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  millis now_ = 0;
  double answered_ = 0, started_ = 0, wait_ms_ = 0;
  double attempts_ = 0, refused_ = 0, idle_ms_ = 0;
};

std::vector<figure> Run(std::uint64_t seed) {
  struct named_policy {
    slot_policy policy;
    const char* name;
  };
  std::vector<figure> figures;
  for (std::uint32_t runners : {8u, 12u}) {
    for (const named_policy& item :
         {named_policy{slot_policy::kPartitioned, "partitioned"},
          named_policy{slot_policy::kGranted, "granted"},
          named_policy{slot_policy::kOptimistic, "optimistic"}}) {
      const auto some =
          sharing_run(item.policy, runners, seed)
              .Run(std::to_string(runners) + " runners, " + item.name);
      figures.insert(figures.end(), some.begin(), some.end());
    }
  }
  return figures;
}

const registration kRegistration(
    {"slot_sharing",
     "8 entries with 1 to 8 parts of the demand, 1 ms from 8 or 12 runners of "
     "8 slots, 60 s at 5 times a mean demand of half the slots, mean run time "
     "200 ms, at most 400 waiting at an entry",
     Run});

}  // namespace
}  // namespace radishwing::bench
