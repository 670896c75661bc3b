#pragma once

#include <string>

#include "src/fleet/task_name.h"

namespace radishwing::sched {

/// Kind of an order to a runner.
enum class order_kind {
  kStart,
  kStop,
  kPace  ///< Sets the speed of a running task.
};

/// An order to a runner. The sender reports the outcome to the scheduler.
struct order {
  order_kind kind = order_kind::kStart;
  std::string runner;  ///< Id of the runner.
  fleet::task_name task;
  int run = 0;       ///< Number of the run.
  std::string spec;  ///< Opaque text from the job request, for kStart only.
  /// Checkpoint to resume from, for kStart only; empty if there is none.
  std::string checkpoint;
  int pace_percent = 100;        ///< Percentage of full speed, for kPace only.
  std::string_view reason = "";  ///< Cause of the order, for logs.
  /// Text of the advice service's ticket for this runner, for kStart only;
  /// empty if the task needs no ticket.
  std::string ticket = {};
};

}  // namespace radishwing::sched
