#include "bench/bench_case.h"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace radishwing::bench {
namespace {

std::string FormatTarget(std::string_view sign, double bound,
                         std::string_view unit) {
  std::ostringstream text;
  text << sign << ' ' << bound << ' ' << unit;
  return text.str();
}

}  // namespace

std::vector<bench_case>& RegisteredCases() {
  static std::vector<bench_case> cases;
  return cases;
}

measurement AtMost(std::string name, double value, std::string unit,
                   double bound) {
  const std::string target = FormatTarget("<=", bound, unit);
  return {std::move(name), value, std::move(unit), target, value > bound};
}

measurement AtLeast(std::string name, double value, std::string unit,
                    double bound) {
  const std::string target = FormatTarget(">=", bound, unit);
  return {std::move(name), value, std::move(unit), target, value < bound};
}

double MedianMicros(int count, const std::function<void(int)>& body) {
  std::vector<double> times;
  for (int i = 0; i < count; ++i) {
    const auto start = std::chrono::steady_clock::now();
    body(i);
    const std::chrono::duration<double, std::micro> time =
        std::chrono::steady_clock::now() - start;
    times.push_back(time.count());
  }
  std::nth_element(times.begin(), times.begin() + count / 2, times.end());
  return times[static_cast<std::size_t>(count / 2)];
}

}  // namespace radishwing::bench
