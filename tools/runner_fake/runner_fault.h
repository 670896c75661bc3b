#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "src/base/clock.h"

namespace radishwing::fake {

/// Ways in which a fake runner misbehaves.
enum class runner_fault_mode {
  kNone,
  kRefuse,     ///< Listener closed; ends after `delay_ms` if that is above 0.
  kFailAll,    ///< Answers 500 at once.
  kSilent,     ///< Connections open now never answer; new ones work.
  kLate,       ///< Runs the request, answers `delay_ms` later.
  kDieBefore,  ///< Starts the request and closes before any answer.
  kDieDuring,  ///< Closes after half of the answer's body.
  kDieAfter,   ///< Closes after a complete answer that promised to keep alive.
  kLeave,      ///< Serves, and says `Runner-State: leaving`.
};

struct runner_fault {
  runner_fault_mode mode = runner_fault_mode::kNone;
  millis delay_ms = 0;
};

/// The mode named as in `POST /fault`, such as "die_before".
std::optional<runner_fault_mode> RunnerFaultFromName(std::string_view name);

}  // namespace radishwing::fake
