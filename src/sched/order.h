#pragma once

#include <string>

#include "src/fleet/task_name.h"

namespace radishwing::sched {

enum class order_kind { kStart, kStop, kPace };

/// An order to a runner. The sender reports the outcome to the scheduler.
struct order {
  order_kind kind = order_kind::kStart;
  std::string runner;
  fleet::task_name task;
  int run = 0;
  std::string spec;              ///< Start only.
  std::string checkpoint;        ///< Start only.
  int percent = 100;             ///< Share of full speed; pace only.
  std::string_view reason = "";  ///< Cause, for logs.
  std::string ticket = {};       ///< Start with a ticket only.
};

}  // namespace radishwing::sched
