#pragma once

#include <cstddef>
#include <cstdint>

namespace radishwing::fairness {

/// Classes of work, most preferred first.
enum class work_class : std::uint8_t { kUrgent, kInteractive, kLong };

constexpr std::size_t kWorkClasses = 3;

}  // namespace radishwing::fairness
