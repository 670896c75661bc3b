#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fairness/fair_queue.h"
#include "src/routing/runner_group.h"

namespace radishwing::bench {

/// How waiting work is ordered.
enum class queue_order {
  kFair,       ///< fair_queue as the entries use it.
  kNoClasses,  ///< fair_queue with every item in one class.
  kFifo,       ///< First in, first out: one flow of one fair_queue.
};

/// Shape of a generated workload. Times are in ms.
struct queue_workload {
  queue_order order = queue_order::kFair;
  std::uint32_t teams = 20;
  std::uint32_t entries = 1;
  std::uint32_t runners = 10;
  std::uint32_t slots = 8;  ///< Of each runner.
  millis one_way_ms = 0;    ///< Between entry and runner.
  millis length_ms = 120'000;
  double load = 1.5;        ///< Mean demand over what the slots can hold.
  double off_peak = 1;      ///< Demand between peaks, over the mean.
  double peak = 5;          ///< Demand in a peak, over the mean.
  std::uint32_t turns = 5;  ///< Every team peaks in one of so many turns.
  millis peak_ms = 8'000;
  millis step_at_ms = -1;  ///< Until then every second team has no demand.
  /// Declared run times are off by up to 10 times: each item by its own
  /// factor, or all items of a team by the same one.
  bool off_by_item = false;
  bool uneven = false;        ///< Each team favours some entries.
  bool with_classes = false;  ///< 10% urgent, 20% long of 10 times the time.
  std::uint32_t queue_limit = 400;  ///< Waiting items of one team.
};

/// What a run showed, in steps of kSampleMs.
struct queue_record {
  static constexpr millis kSampleMs = 100;
  struct sample {
    std::vector<double> got;  ///< Slot time by team.
    std::vector<double> due;  ///< Share of it by weight, given the demand.
  };
  std::vector<sample> samples;
  /// The same by entry; what is due there is a share of what the entry got.
  std::vector<std::vector<sample>> entry_samples;
  double idle_ms = 0;  ///< Slot time idle while work waited.
  double slot_ms = 0;
  std::uint64_t attempts = 0;
  std::uint64_t refused = 0;
  std::vector<double> urgent_start_ms;
  std::vector<double> other_start_ms;
};

/// Runs a workload through the real fair_queue and runner_group, against
/// runners of which only the slots are simulated, in steps of 1 ms.
class queue_simulation {
 public:
  queue_simulation(const queue_workload& work, std::uint64_t seed);
  queue_record Run();

 private:
  struct request {
    std::uint32_t team = 0;
    std::uint32_t entry = 0;
    fairness::work_class cls{};
    millis arrived = 0;
    millis run_ms = 1;
    millis expected_ms = 1;
    millis sent = 0;
    bool started = false;
    fairness::ticket number = 0;
    routing::runner_state* runner = nullptr;
    bool probe = false;
  };
  enum class step { kArrive, kEnd, kAnswer, kRefusal };
  struct event {
    millis at = 0;
    std::uint64_t order = 0;
    step what{};
    std::uint64_t id = 0;
    bool operator>(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct entry_side {
    std::unique_ptr<fairness::fair_queue> queue;
    std::unique_ptr<routing::runner_group> group;
    std::vector<double> got, due;                 ///< In the present sample.
    std::vector<std::uint32_t> running, waiting;  ///< By team.
  };

  void AddEntry(std::uint64_t seed);
  double Demand(std::uint32_t team) const;
  void Generate();
  void Add(std::uint32_t team);
  std::uint32_t EntryOf(std::uint32_t team);
  void Schedule(millis at, step what, std::uint64_t id);
  void Handle(const event& next);
  void Arrive(std::uint64_t id);
  void Dispatch(entry_side& entry);
  void Answer(request& done);
  void ChargeRunning();
  void Account();
  void TakeSample();
  double Uniform();

  queue_workload work_;
  std::mt19937_64 random_;
  std::vector<double> weights_;
  std::vector<double> bias_;      ///< Declared over real run time, by team.
  std::vector<double> mean_run_;  ///< By team, in ms.
  std::vector<std::vector<double>> reach_;  ///< By team: part of each entry.
  std::vector<entry_side> entries_;
  std::vector<request> requests_;
  std::vector<std::uint32_t> runner_running_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<std::uint64_t> in_flight_;
  std::uint64_t order_ = 0;
  millis now_ = 0;
  queue_record record_;
};

}  // namespace radishwing::bench
