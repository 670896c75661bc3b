#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace radishwing::bench {

/// A measured value and its target.
struct measurement {
  std::string name;
  double value = 0;
  std::string unit;
  std::string target;  ///< Empty if there is none.
  bool missed = false;
};

/// A benchmark. `run` takes the seed and returns its measurements.
struct bench_case {
  std::string name;
  std::string workload;  ///< Description of the workload, for the report.
  std::function<std::vector<measurement>(std::uint64_t seed)> run;
};

/// Returns all benchmarks, in the order of registration.
std::vector<bench_case>& Registry();

/// Registers a benchmark during static initialization.
struct registration {
  explicit registration(bench_case item) {
    Registry().push_back(std::move(item));
  }
};

/// Returns a measurement with an upper bound as its target.
measurement AtMost(std::string name, double value, std::string unit,
                   double bound);

/// Returns a measurement with a lower bound as its target.
measurement AtLeast(std::string name, double value, std::string unit,
                    double bound);

/// Calls `body` `count` times and returns the median time of a call, in µs.
double MedianMicros(int count, const std::function<void(int)>& body);

}  // namespace radishwing::bench
