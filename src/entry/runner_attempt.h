#pragma once

#include <memory>

#include "src/base/clock.h"
#include "src/entry/runner_connection.h"
#include "src/routing/runner_state.h"

namespace radishwing::entry {

/// What follows the end of an attempt.
enum class next_step {
  kFinish,   ///< The request ends.
  kRequeue,  ///< It goes back to the front of its queue.
};

/// What becomes of the connection of an attempt.
enum class connection_use {
  kReuse,
  kClose,
  kLinger,  ///< The runner may still run the request: see Linger.
};

/// One attempt of a request on one runner.
struct runner_attempt {
  routing::runner_state* runner = nullptr;  ///< nullptr: no attempt.
  std::shared_ptr<runner_connection> connection;
  millis started_at = 0;
  millis connect_by = 0;
  millis first_byte_by = 0;
  bool probe = false;
  bool reused = false;   ///< The connection had served before.
  bool written = false;  ///< At least one byte was sent.
  bool first_byte = false;
};

}  // namespace radishwing::entry
