// Runs the registered benchmarks: radishwing_bench [--match TEXT] [--seed N].
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
  for (const auto& item : radishwing::bench::Registry()) {
    if (item.name.find(match) == std::string::npos) continue;
    std::cout << item.name << ": seed=" << seed << ", " << item.workload
              << '\n';
    for (const auto& figure : item.run(seed)) {
      std::cout << "  " << figure.name << ": " << figure.value << ' '
                << figure.unit;
      if (!figure.target.empty()) {
        std::cout << " (target " << figure.target << ": "
                  << (figure.missed ? "missed" : "met") << ')';
      }
      std::cout << '\n';
      missed += figure.missed ? 1 : 0;
    }
  }
  std::cout << missed << " targets missed\n";
  return 0;
}
