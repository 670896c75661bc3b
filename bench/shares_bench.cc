#include <algorithm>
#include <string>

#include "bench/bench_case.h"
#include "bench/queue_simulation.h"
#include "bench/share_gap.h"

namespace radishwing::bench {
namespace {

constexpr millis kWindowMs = 10'000;
constexpr millis kWarmUpMs = 10'000;
constexpr millis kStepAtMs = 40'000;
constexpr double kLargestGap = 0.02;

double Slots(const queue_workload& work) {
  return static_cast<double>(work.runners) * work.slots;
}

double Gap(const queue_workload& work, const queue_record& record) {
  return 100 * LargestGap(record, Slots(work), kWindowMs, kWarmUpMs,
                          work.length_ms - kWindowMs);
}

// The same gap within each entry, against what its own slots would give.
double EntryGap(const queue_workload& work, const queue_record& record) {
  double largest = 0;
  for (const auto& samples : record.entry_samples) {
    queue_record own;
    own.samples = samples;
    largest = std::max(largest, Gap(work, own));
  }
  return largest;
}

// Time after the step until the end of the first window of 1 s in which every
// team is within the bound, and still is in the windows of the next second.
double Recovery(const queue_workload& work, const queue_record& record) {
  constexpr millis kShortMs = 1000;
  for (millis at = kStepAtMs; at + 2 * kShortMs < work.length_ms;
       at += queue_record::kSampleMs) {
    if (LargestGap(record, Slots(work), kShortMs, at, at + kShortMs) <=
        kLargestGap) {
      return static_cast<double>(at + kShortMs - kStepAtMs) / 1000;
    }
  }
  return static_cast<double>(work.length_ms - kStepAtMs) / 1000;
}

double IdlePart(const queue_record& record) {
  return 100 * record.idle_ms / record.slot_ms;
}

void AddRun(const std::string& name, queue_workload work, std::uint64_t seed,
            bool judged, std::vector<figure>& figures) {
  const queue_record record = queue_simulation(work, seed).Run();
  const auto add = [&](const std::string& what, double value,
                       const std::string& unit, double bound) {
    figures.push_back(judged ? AtMost(name + what, value, unit, bound)
                             : figure{name + what, value, unit, "", false});
  };
  add(", largest gap in 10 s windows", Gap(work, record), "% of the fleet",
      100 * kLargestGap);
  add(", idle while work waits", IdlePart(record), "% of slot time", 1);
  if (work.entries > 1) {
    figures.push_back({name + ", largest gap within one entry",
                       EntryGap(work, record), "% of the fleet", "", false});
    figures.push_back({name + ", refused attempts",
                       100.0 * static_cast<double>(record.refused) /
                           static_cast<double>(record.attempts),
                       "%", "", false});
  }
  work.step_at_ms = kStepAtMs;
  // No peaks, so that the step is the only change.
  work.peak = work.off_peak = 2;
  const queue_record step = queue_simulation(work, seed).Run();
  add(", within 2% after a step", Recovery(work, step), "s", 5);
}

std::vector<figure> Run(std::uint64_t seed) {
  std::vector<figure> figures;
  queue_workload one;
  AddRun("one queue, everything full", one, seed, true, figures);
  queue_workload low = one;
  low.off_peak = 0.05;
  AddRun("one queue, a twentieth between peaks", low, seed, true, figures);
  queue_workload by_item = low;
  by_item.off_by_item = true;
  AddRun(
      "one queue, a twentieth between peaks, each item off by its own factor",
      by_item, seed, true, figures);
  one.order = queue_order::kFifo;
  AddRun("first in first out, everything full", one, seed, false, figures);
  queue_workload eight;
  eight.entries = 8;
  eight.one_way_ms = 1;
  AddRun("8 entries, everything full", eight, seed, true, figures);
  eight.uneven = true;
  AddRun("8 entries, uneven, everything full", eight, seed, true, figures);
  eight.off_peak = 0.05;
  AddRun("8 entries, uneven, a twentieth between peaks", eight, seed, true,
         figures);
  return figures;
}

const registration kRegistration(
    {"shares",
     "20 teams of weights 1 to 4, 10 runners of 8 slots, 120 s, mean run times "
     "of 50 to 350 ms declared off by up to 10 times (a factor for each team), "
     "demand 1.5 times the "
     "slots, peaks of 5 times the mean for 8 s in 5 turns, step at 40 s; 8 "
     "entries 1 ms from the runners",
     Run});

}  // namespace
}  // namespace radishwing::bench
