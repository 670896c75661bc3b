#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "src/placement/resources.h"

namespace radishwing::placement {

/// A binary tree over numbered places. Each node knows the largest amount of
/// each resource below it, so that a search skips whatever cannot fit.
class resource_tree {
 public:
  /// Sets the resources of `place`, growing the tree as needed. O(log n).
  void Set(std::size_t place, const resources& amount);

  const resources& At(std::size_t place) const {
    return nodes_[leaves_ + place];
  }

  /// The largest amount of each kind at any place.
  resources Largest() const {
    return nodes_.size() > 1 ? nodes_[1] : resources();
  }

  /// The first place at or after `start`, cyclically, that covers `need` and
  /// that `accept` takes. O(log n) per place that covers `need` or whose
  /// resources suffice only in combination with a neighbour's.
  std::optional<std::size_t> Find(
      const resources& need, std::size_t start,
      const std::function<bool(std::size_t)>& accept) const;

  std::size_t Places() const { return leaves_; }

 private:
  struct range {
    std::size_t first = 0;
    std::size_t end = 0;
  };

  void Grow(std::size_t places);
  std::optional<std::size_t> FindIn(
      std::size_t node, range covered, range wanted, const resources& need,
      const std::function<bool(std::size_t)>& accept) const;

  std::size_t leaves_ = 0;
  std::vector<resources> nodes_;
};

}  // namespace radishwing::placement
