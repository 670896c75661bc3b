#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace radishwing::bench {

/// A measured value and its target, if it has one.
struct measurement {
  std::string name;
  double value = 0;
  std::string unit;
  std::string target;   ///< Target, such as "<= 5 us"; empty if there is none.
  bool missed = false;  ///< True if the value does not meet the target.
};

/// A benchmark with its workload.
struct bench_case {
  std::string name;
  std::string workload;  ///< Description of the workload, for the report.
  /// Executes the workload, generated from `seed`, and returns the
  /// measurements.
  std::function<std::vector<measurement>(std::uint64_t seed)> measure;
};

/// Returns all benchmarks, in the order of registration.
std::vector<bench_case>& RegisteredCases();

/// Registers a benchmark. Define one static object for each benchmark.
struct bench_registration {
  explicit bench_registration(bench_case registered) {
    RegisteredCases().push_back(std::move(registered));
  }
};

/// Returns a measurement whose target is a value of at most `bound`.
measurement AtMost(std::string name, double value, std::string unit,
                   double bound);

/// Returns a measurement whose target is a value of at least `bound`.
measurement AtLeast(std::string name, double value, std::string unit,
                    double bound);

/// Calls `body` `count` times with the number of the call, from 0, and returns
/// the median duration of a call in µs.
double MedianMicros(int count, const std::function<void(int)>& body);

}  // namespace radishwing::bench
