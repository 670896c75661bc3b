#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace radishwing::bench {

/// One measured figure and the target it is held against.
struct figure {
  std::string name;
  double value = 0;
  std::string unit;
  std::string target;  ///< Empty if it has none.
  bool missed = false;
};

/// One benchmark. `run` gets the seed and returns its figures.
struct bench_case {
  std::string name;
  std::string workload;  ///< Shape of the workload, for the report.
  std::function<std::vector<figure>(std::uint64_t seed)> run;
};

/// All benchmarks, in the order of registration.
std::vector<bench_case>& Registry();

/// Registers a benchmark at the start of the program.
struct registration {
  explicit registration(bench_case item) {
    Registry().push_back(std::move(item));
  }
};

/// A figure with an upper bound as target.
figure AtMost(std::string name, double value, std::string unit, double bound);

/// A figure with a lower bound as target.
figure AtLeast(std::string name, double value, std::string unit, double bound);

/// Calls `body` `count` times and returns the median time of one call, in µs.
double MedianMicros(int count, const std::function<void(int)>& body);

}  // namespace radishwing::bench
