#pragma once

#include <string>

#include "src/fleet/task_name.h"

namespace radishwing::sched {

enum class order_kind { kStart, kStop, kPace };

/// An order to a runner. Its outcome is reported back to the scheduler.
struct order {
  order_kind kind = order_kind::kStart;
  std::string runner;
  fleet::task_name task;
  int run = 0;
  std::string spec;              ///< Of a start.
  std::string checkpoint;        ///< Of a start.
  int percent = 100;             ///< Of a pace.
  std::string_view reason = "";  ///< Why a stop was ordered, for logs.
  std::string ticket = {};       ///< Of a start that needs one.
};

}  // namespace radishwing::sched
