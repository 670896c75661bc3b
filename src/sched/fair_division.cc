#include "src/sched/fair_division.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace radishwing::sched {
namespace {

// Weight of a claim without a valid weight. Such a claim is served last, but
// not forgotten when the others leave capacity unused.
constexpr double kInvalidWeight = 1e-9;

double EffectiveWeight(const share_claim& claim) {
  return std::isfinite(claim.weight) && claim.weight > kInvalidWeight
             ? claim.weight
             : kInvalidWeight;
}

}  // namespace

std::vector<double> DivideByWeight(double capacity,
                                   std::span<const share_claim> claims) {
  std::vector<double> parts(claims.size(), 0);
  std::vector<std::size_t> order(claims.size());
  std::iota(order.begin(), order.end(), 0);
  const auto demand = [&](std::size_t i) {
    return claims[i].demand > 0 ? claims[i].demand : 0;
  };
  // Claims that need the least per unit of weight are satisfied first.
  std::ranges::sort(order, {}, [&](std::size_t i) {
    return demand(i) / EffectiveWeight(claims[i]);
  });
  // Sums from the end, because subtracting from a total would lose the weights
  // of invalid claims to rounding.
  std::vector<double> weight_left(claims.size());
  double sum = 0;
  for (std::size_t n = claims.size(); n-- > 0;) {
    sum += EffectiveWeight(claims[order[n]]);
    weight_left[n] = sum;
  }
  double left = capacity > 0 ? capacity : 0;
  for (std::size_t n = 0; n < claims.size(); ++n) {
    const std::size_t i = order[n];
    const double fair = left * (EffectiveWeight(claims[i]) / weight_left[n]);
    parts[i] = std::min(demand(i), fair);
    left -= parts[i];
  }
  return parts;
}

}  // namespace radishwing::sched
