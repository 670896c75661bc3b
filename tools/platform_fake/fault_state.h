#pragma once

#include <cstdint>
#include <string>

#include "src/base/clock.h"
#include "src/base/result.h"

namespace radishwing::platform_fake {

/// What goes wrong with the calls to the fake.
enum class fault_mode {
  kNone,
  kDown,         ///< 503 without any effect.
  kSlow,         ///< Each call waits `delay_ms` before it takes effect.
  kLoseAnswers,  ///< Writes take effect, then the connection closes.
  kSilent,       ///< Connections open now never answer again; new ones work.
  kLapseLease,   ///< The lease or task `lease` expires now.
  kFailHost,     ///< The host `lease` fails now, until it is rebooted.
};

/// One order of `POST /fault`.
struct fault {
  fault_mode mode = fault_mode::kNone;
  millis delay_ms = 0;
  std::uint64_t count = 0;  ///< Calls affected; 0 until the next order.
  std::string lease;
};

/// Parses the body of `POST /fault`.
result<fault> ParseFault(const std::string& body);

/// The order in force.
class fault_state {
 public:
  void Set(fault f) { fault_ = std::move(f); }
  const fault& Now() const { return fault_; }

  /// The fault that hits the next call. Counts it if the call is affected.
  fault_mode Take(bool is_write) {
    const fault_mode mode = fault_.mode;
    if (mode == fault_mode::kLoseAnswers && !is_write) return fault_mode::kNone;
    if (mode != fault_mode::kNone && fault_.count > 0 && --fault_.count == 0) {
      fault_.mode = fault_mode::kNone;
    }
    return mode;
  }

 private:
  fault fault_;
};

}  // namespace radishwing::platform_fake
