#include <iostream>

#include "bench/bench_case.h"

namespace radishwing::bench {

std::map<std::string, bench_function>& Benches() {
  static std::map<std::string, bench_function> benches;
  return benches;
}

bench_case::bench_case(const char* name, bench_function run) {
  Benches()[name] = run;
}

}  // namespace radishwing::bench

// Runs the benchmarks named on the command line, or all of them.
int main(int argc, char** argv) {
  auto& benches = radishwing::bench::Benches();
  for (int i = 1; i < argc; ++i) {
    if (!benches.contains(argv[i])) {
      std::cerr << "no benchmark \"" << argv[i] << "\"; there are:";
      for (const auto& [name, run] : benches) std::cerr << ' ' << name;
      std::cerr << '\n';
      return 1;
    }
  }
  for (const auto& [name, run] : benches) {
    bool wanted = argc == 1;
    for (int i = 1; i < argc; ++i) wanted = wanted || name == argv[i];
    if (wanted) run();
  }
  return 0;
}
