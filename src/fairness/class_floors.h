#pragma once

#include <array>

#include "src/fairness/work_class.h"

namespace radishwing::fairness {

/// Keeps preferred classes from starving the others. While a class waits, it
/// earns a fixed part of the slot time that other classes use; once it has
/// earned the cost of one of its items it goes first.
class class_floors {
 public:
  /// Slot time of `ms` was charged to `used`; `waiting` says which classes
  /// have waiting items. `ms` may be negative when a charge is corrected.
  void Charge(work_class used, double ms,
              const std::array<bool, kWorkClasses>& waiting);

  /// Notes the expected cost of an item of the class.
  void Expect(work_class cls, double ms);

  /// True if the class has earned the next turn.
  bool Due(work_class cls) const;

  /// The class has nothing waiting: what it earned is void.
  void Clear(work_class cls);

 private:
  std::array<double, kWorkClasses> earned_{};
  std::array<double, kWorkClasses> cost_{};
};

}  // namespace radishwing::fairness
