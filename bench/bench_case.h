#pragma once

#include <map>
#include <string>

namespace radishwing::bench {

/// Runs one benchmark and prints its figures.
using bench_function = void (*)();

/// Registers a benchmark when constructed at namespace scope.
struct bench_case {
  bench_case(const char* name, bench_function run);
};

/// All benchmarks by name.
std::map<std::string, bench_function>& Benches();

}  // namespace radishwing::bench
