// Executes the registered benchmarks:
// radishwing_bench [--match TEXT] [--seed N].
#include <CLI/CLI.hpp>
#include <cstdint>
#include <iostream>
#include <string>

#include "bench/bench_case.h"

int main(int argc, char** argv) {
  std::string match;
  std::uint64_t seed = 1;
  CLI::App app("Benchmarks of radishwing");
  app.add_option("--match", match, "Only benchmarks whose name contains this");
  app.add_option("--seed", seed, "Seed of the workloads");
  CLI11_PARSE(app, argc, argv);
  int missed = 0;
  for (const auto& benchmark : radishwing::bench::RegisteredCases()) {
    if (benchmark.name.find(match) == std::string::npos) continue;
    std::cout << benchmark.name << ": seed=" << seed << ", "
              << benchmark.workload << '\n';
    for (const auto& result : benchmark.measure(seed)) {
      std::cout << "  " << result.name << ": " << result.value << ' '
                << result.unit;
      if (!result.target.empty()) {
        std::cout << " (target " << result.target << ": "
                  << (result.missed ? "missed" : "met") << ')';
      }
      std::cout << '\n';
      missed += result.missed ? 1 : 0;
    }
  }
  std::cout << missed << " targets missed\n";
  return 0;
}
