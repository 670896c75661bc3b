#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "bench/bench_case.h"
#include "tests/sched/place_load.h"

namespace radishwing::bench {
namespace {

using namespace sched;

void AddResults(std::vector<measurement>& out, const std::string& load_name,
                const place_load& load, std::uint64_t seed) {
  struct named_policy {
    std::string name;
    place_wait_policy policy;
  };
  const std::vector<named_policy> policies = {
      {"no wait", NoWait()},
      {"fixed wait of 200 ms", FixedWait(200)},
      {"expected gain", {}}};
  for (const named_policy& entry : policies) {
    place_load_result sum;
    double micros = 0;
    for (std::uint64_t run = 0; run < 5; ++run) {
      place_load_result result;
      micros += MedianMicros(1, [&](int) {
        result = place_load_player(load, seed + run, entry.policy).Play();
      });
      sum.jobs += result.jobs;
      sum.in_time += result.in_time;
      sum.near_runs += result.near_runs;
      sum.away_runs += result.away_runs;
    }
    const std::string prefix = load_name + ", " + entry.name + ": ";
    out.push_back({prefix + "jobs in time",
                   100.0 * sum.in_time / std::max(1, sum.jobs), "%", "",
                   false});
    out.push_back(
        {prefix + "runs away from their data",
         100.0 * sum.away_runs / std::max(1, sum.away_runs + sum.near_runs),
         "%", "", false});
    out.push_back(
        {prefix + "time for each job", micros / sum.jobs, "us", "", false});
  }
}

std::vector<measurement> MeasurePlaceWait(std::uint64_t seed) {
  std::vector<measurement> out;
  AddResults(out, "even racks, load 0.8", {.jobs_per_s = 64}, seed);
  AddResults(out, "even racks, factor 1.5, load 0.8",
             {.jobs_per_s = 64, .remote_factor = 1.5}, seed);
  AddResults(out, "hot rack, load 0.6", {.jobs_per_s = 48, .hot_share = 0.5},
             seed);
  AddResults(out, "overload of 1.3", {.jobs_per_s = 104}, seed);
  AddResults(out, "no data, load 0.8", {.jobs_per_s = 64, .data_share = 0},
             seed);
  return out;
}

const bench_registration kRegistration(
    {"place_wait",
     "jobs of 4 tasks of 400 ms on 16 runners in 4 racks for 10 s, 5 seeds",
     MeasurePlaceWait});

}  // namespace
}  // namespace radishwing::bench
