#pragma once

#include <cstddef>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Estimates how long the advice service takes to answer a query about the
/// runners of one queue: a fixed time and a time for each runner that the query
/// names. Determines how many runners a query may name, so that its tickets
/// arrive while they can be used.
class advice_budget {
 public:
  /// Maximum number of runners that a query names. The platform's rules allow
  /// one query that names 30 runners for each step.
  static constexpr std::size_t kMaxRunnersPerRequest = 30;

  /// Returns the time before the end of a ticket's validity, at most a quarter
  /// of it, in which the ticket is not used: the maximum transit time of a
  /// start order.
  static millis TicketMarginMs(millis valid_ms);

  /// Sets the times that the configuration declares; 0: unknown. If they differ
  /// from the earlier ones, they replace the estimates.
  void SetDeclaredMs(millis fixed_ms, millis per_runner_ms);

  /// Returns the maximum number of runners, at least 1, that a query for
  /// tickets with this validity names.
  std::size_t MaxRunners(millis valid_ms) const;

  /// Returns the time after which a query about `runners` runners is given up.
  millis TimeoutMs(std::size_t runners) const;

  /// Records that a query about `runners` runners was answered after `took`.
  void RecordResponse(std::size_t runners, millis took);

  /// Records that a query about `runners` runners had no answer by `waited`.
  void RecordFailure(std::size_t runners, millis waited);

 private:
  double ExpectedMs(std::size_t runners) const;
  /// Scales the estimates so that a query about `runners` runners takes `took`,
  /// or halfway to that if it was faster than expected.
  void Adapt(std::size_t runners, double took);

  millis declared_fixed_ms_ = 0;
  millis declared_per_runner_ms_ = 0;
  double fixed_ms_ = 0;
  double per_runner_ms_ = 0;
};

}  // namespace radishwing::sched
