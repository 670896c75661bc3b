#pragma once

#include <string>

#include "src/fleet/task_name.h"

namespace radishwing::sched {

/// Kind of an order to a runner.
enum class order_kind {
  kStart,
  kStop,
  kPace  ///< Limits the speed of a running task.
};

/// An order to a runner. The sender reports the outcome to the scheduler.
struct order {
  order_kind kind = order_kind::kStart;
  std::string runner;
  fleet::task_name task;
  int run = 0;
  std::string spec;              ///< For kStart only.
  std::string checkpoint;        ///< For kStart only.
  int pace_percent = 100;        ///< Percentage of full speed, for kPace only.
  std::string_view reason = "";  ///< Cause of the order, for logs.
  std::string ticket = {};       ///< For kStart only; empty if not needed.
};

}  // namespace radishwing::sched
