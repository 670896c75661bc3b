#pragma once

#include <span>
#include <vector>

namespace radishwing::sched {

/// A claim on a divisible capacity.
struct share_claim {
  double weight = 1;  ///< Part of the claimant; 0 or less gets what is left.
  double demand = 0;  ///< Most that the claimant can use.
};

/// Divides `capacity` by weighted max-min fairness: no claim gets more than its
/// demand, and what a claim leaves unused goes to the others in proportion to
/// their weights. Returns the part of each claim, in the same order. A weight
/// that is not a finite positive number counts as one that is far smaller than
/// any other; a demand or capacity that is not positive counts as 0.
std::vector<double> DivideByWeight(double capacity,
                                   std::span<const share_claim> claims);

}  // namespace radishwing::sched
