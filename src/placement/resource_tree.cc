#include "src/placement/resource_tree.h"

#include <bit>

namespace radishwing::placement {

void resource_tree::Grow(std::size_t places) {
  const std::size_t leaves = std::bit_ceil(places);
  std::vector<resources> nodes(2 * leaves);
  for (std::size_t i = 0; i < leaves_; ++i) nodes[leaves + i] = At(i);
  for (std::size_t i = leaves - 1; i > 0; --i) {
    nodes[i] = resources::Larger(nodes[2 * i], nodes[2 * i + 1]);
  }
  leaves_ = leaves;
  nodes_ = std::move(nodes);
}

void resource_tree::Set(std::size_t place, const resources& amount) {
  if (place >= leaves_) Grow(place + 1);
  std::size_t node = leaves_ + place;
  nodes_[node] = amount;
  for (node /= 2; node > 0; node /= 2) {
    nodes_[node] = resources::Larger(nodes_[2 * node], nodes_[2 * node + 1]);
  }
}

std::optional<std::size_t> resource_tree::Find(
    const resources& need, std::size_t start,
    const std::function<bool(std::size_t)>& accept) const {
  if (leaves_ == 0) return std::nullopt;
  start %= leaves_;
  const range all{0, leaves_};
  const auto found = FindIn(1, all, {start, leaves_}, need, accept);
  if (found || start == 0) return found;
  return FindIn(1, all, {0, start}, need, accept);
}

std::optional<std::size_t> resource_tree::FindIn(
    std::size_t node, range covered, range wanted, const resources& need,
    const std::function<bool(std::size_t)>& accept) const {
  if (covered.end <= wanted.first || wanted.end <= covered.first) {
    return std::nullopt;
  }
  if (!nodes_[node].Covers(need)) return std::nullopt;
  if (node >= leaves_) {
    const std::size_t place = node - leaves_;
    if (accept(place)) return place;
    return std::nullopt;
  }
  const std::size_t middle = (covered.first + covered.end) / 2;
  const auto left =
      FindIn(2 * node, {covered.first, middle}, wanted, need, accept);
  if (left) return left;
  return FindIn(2 * node + 1, {middle, covered.end}, wanted, need, accept);
}

}  // namespace radishwing::placement
