#include <random>
#include <string>

#include "bench/bench_case.h"
#include "src/placement/host_index.h"

namespace radishwing::bench {
namespace {

using namespace placement;

constexpr std::uint32_t kHostsPerRack = 4;
constexpr int kPlacements = 20'000;

// Every seventh host has 8 accelerators; work is placed until the fleet is
// about three quarters full, then placements and releases alternate.
double MeasurePlacement(int hosts, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  host_index index;
  for (int i = 0; i < hosts; ++i) {
    index.Update({"h" + std::to_string(i),
                  "r" + std::to_string(i / kHostsPerRack),
                  {32, 65536, i % 7 == 0 ? 8u : 0u},
                  true});
  }
  const auto need = [&random] {
    work_need work;
    work.amount = {1 + static_cast<std::uint32_t>(random() % 8),
                   1024 * (1 + static_cast<std::uint32_t>(random() % 16)),
                   random() % 20 == 0 ? 1u : 0u};
    work.spread = random();
    return work;
  };
  struct placed {
    std::string host;
    resources amount;
  };
  std::vector<placed> running;
  for (int i = 0; i < hosts * 5; ++i) {
    const work_need work = need();
    auto host = index.Place(work);
    if (Ok(host)) running.push_back({Value(host), work.amount});
  }
  std::vector<work_need> needs;
  for (int i = 0; i < kPlacements; ++i) needs.push_back(need());
  return MedianMicros(kPlacements, [&](int i) {
    auto host = index.Place(needs[static_cast<std::size_t>(i)]);
    const std::size_t last = random() % running.size();
    index.Release(running[last].host, running[last].amount);
    if (!Ok(host)) {
      running.erase(running.begin() + static_cast<long>(last));
    } else {
      running[last] = {Value(host), needs[static_cast<std::size_t>(i)].amount};
    }
  });
}

std::vector<figure> Run(std::uint64_t seed) {
  const double small = MeasurePlacement(50, seed);
  const double middle = MeasurePlacement(1100, seed);
  const double large = MeasurePlacement(11000, seed);
  // log(11,000) / log(1,100): what logarithmic growth allows.
  return {{"median at 50 hosts", small, "us", "", false},
          AtMost("median at 1,100 hosts", middle, "us", 20),
          {"median at 11,000 hosts", large, "us", "", false},
          AtMost("growth from 1,100 to 11,000", large / middle, "times", 1.33)};
}

const registration kRegistration(
    {"placement",
     "one placement and one release, 20,000 times, fleet three quarters full",
     Run});

}  // namespace
}  // namespace radishwing::bench
