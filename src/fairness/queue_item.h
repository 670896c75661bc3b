#pragma once

#include <cstdint>
#include <string_view>

#include "src/base/clock.h"
#include "src/fairness/work_class.h"

namespace radishwing::fairness {

/// Names one item of a fair_queue until it is cancelled or finished.
using ticket = std::uint32_t;

/// A request that asks for a slot. Teams and services are small numbers that
/// the owner of the queue assigns.
struct queue_item {
  std::uint64_t id = 0;  ///< The owner's own number, returned by Pop.
  std::uint32_t team = 0;
  std::uint32_t service = 0;
  work_class cls = work_class::kInteractive;
  std::string_view user;
  std::string_view workspace;
  millis expected_ms = 1;  ///< Charged until run times are known.
};

/// An item that leaves the queue to run.
struct popped_item {
  std::uint64_t id = 0;
  ticket number = 0;
};

}  // namespace radishwing::fairness
