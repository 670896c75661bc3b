#include <algorithm>
#include <string>
#include <vector>

#include "bench/bench_case.h"
#include "bench/queue_simulation.h"

namespace radishwing::bench {
namespace {

constexpr double kUrgentStartSeconds = 9.4;

double Percentile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  const auto index =
      static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<long>(index),
                   values.end());
  return values[index];
}

void AddRun(const std::string& name, queue_workload work, std::uint64_t seed,
            bool judged, std::vector<figure>& figures) {
  const queue_record record = queue_simulation(work, seed).Run();
  const double tail = Percentile(record.urgent_start_ms, 0.999) / 1000;
  const std::string label = name + ", urgent start, 99.9th percentile";
  figures.push_back(judged ? AtMost(label, tail, "s", kUrgentStartSeconds)
                           : figure{label, tail, "s", "", false});
  figures.push_back({name + ", urgent start, median",
                     Percentile(record.urgent_start_ms, 0.5) / 1000, "s", "",
                     false});
  figures.push_back({name + ", urgent items started",
                     static_cast<double>(record.urgent_start_ms.size()), "", "",
                     false});
  figures.push_back({name + ", other work, start, 99.9th percentile",
                     Percentile(record.other_start_ms, 0.999) / 1000, "s", "",
                     false});
}

std::vector<figure> Run(std::uint64_t seed) {
  std::vector<figure> figures;
  queue_workload work;
  work.with_classes = true;
  work.length_ms = 300'000;
  // The mean is half of what the slots hold; all teams stay at the peak.
  work.load = 0.5;
  work.peak = work.off_peak = 5;
  AddRun("one queue", work, seed, true, figures);
  work.order = queue_order::kNoClasses;
  AddRun("one queue without classes", work, seed, false, figures);
  work.order = queue_order::kFair;
  work.entries = 8;
  work.one_way_ms = 1;
  work.uneven = true;
  AddRun("8 uneven entries", work, seed, true, figures);
  work.order = queue_order::kNoClasses;
  AddRun("8 uneven entries without classes", work, seed, false, figures);
  return figures;
}

const registration kRegistration(
    {"urgent",
     "20 teams, 10 runners of 8 slots, 300 s at 5 times a mean demand of half "
     "the slots, 10% of the items urgent, 20% long (10 times the run time), "
     "mean run times of 50 to 350 ms declared off by up to 10 times, at most "
     "400 items of a team waiting at an entry",
     Run});

}  // namespace
}  // namespace radishwing::bench
