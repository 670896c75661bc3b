#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace radishwing::test {

/// The random choices of one interleaving, in the order in which they are used.
class choices {
 public:
  explicit choices(const std::vector<std::uint32_t>& values)
      : values_(values) {}

  /// A number below `bound`; 0 once the choices are used up.
  std::size_t Below(std::size_t bound);

  /// True with a probability of `percent` in a hundred.
  bool Chance(std::size_t percent) { return Below(100) < percent; }

  bool Left() const { return next_ < values_.size(); }

 private:
  const std::vector<std::uint32_t>& values_;
  std::size_t next_ = 0;
};

struct interleaving_plan {
  std::uint64_t seed = 1;
  int runs = 200;
  std::size_t length = 400;  ///< Choices per run.
};

/// Runs `body` with RapidCheck under a fixed seed. `body` returns an empty
/// text, or the invariant that broke. Returns an empty text, or RapidCheck's
/// report with the shortest failing choices it found.
std::string CheckInterleavings(
    const interleaving_plan& plan,
    const std::function<std::string(choices& choices)>& body);

}  // namespace radishwing::test
