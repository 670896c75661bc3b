#include "src/fairness/class_floors.h"

#include <algorithm>

namespace radishwing::fairness {
namespace {

// Part of the slot time each class is sure of while it waits. Urgent work is
// preferred anyway. The sum stays well below 1, so that at 5 times the mean
// demand urgent work still has 70% of the slots.
constexpr std::array<double, kWorkClasses> kFloor = {0, 0.2, 0.1};

std::size_t Index(work_class cls) { return static_cast<std::size_t>(cls); }

}  // namespace

void class_floors::Charge(work_class used, double ms,
                          const std::array<bool, kWorkClasses>& waiting) {
  for (std::size_t i = 0; i < kWorkClasses; ++i) {
    if (i == Index(used)) {
      earned_[i] = std::max(0.0, earned_[i] - ms);
    } else if (waiting[i]) {
      // Twice the cost of one item bounds the burst after a long wait.
      earned_[i] =
          std::clamp(earned_[i] + ms * kFloor[i], 0.0, 2 * cost_[i] + 1);
    }
  }
}

void class_floors::Expect(work_class cls, double ms) {
  cost_[Index(cls)] = std::max(1.0, ms);
}

bool class_floors::Due(work_class cls) const {
  return earned_[Index(cls)] >= cost_[Index(cls)] && cost_[Index(cls)] > 0;
}

void class_floors::Clear(work_class cls) { earned_[Index(cls)] = 0; }

}  // namespace radishwing::fairness
