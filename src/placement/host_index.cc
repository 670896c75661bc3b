#include "src/placement/host_index.h"

#include <algorithm>
#include <array>

namespace radishwing::placement {
namespace {

// What is left; 0 where more is reserved than a changed host has.
resources Minus(const resources& a, const resources& b) {
  return {a.cores - std::min(a.cores, b.cores),
          a.memory_mb - std::min(a.memory_mb, b.memory_mb),
          a.accelerators - std::min(a.accelerators, b.accelerators)};
}

resources Plus(const resources& a, const resources& b) {
  return {a.cores + b.cores, a.memory_mb + b.memory_mb,
          a.accelerators + b.accelerators};
}

void AppendMissing(std::string& text, std::string_view kind, std::uint32_t need,
                   std::uint32_t largest) {
  if (need <= largest) return;
  if (!text.empty()) text += ", ";
  text += std::to_string(need) + " " + std::string(kind) +
          " (largest host: " + std::to_string(largest) + ")";
}

}  // namespace

void host_index::Refresh(host_class& group, std::size_t index) {
  const place& item = group.places[index];
  // An index without need for resources must not match an unused place: such
  // work is refused by the accept function.
  group.capacity.Set(index, item.used ? item.host.capacity : resources());
  group.free.Set(index, item.used && item.host.accepts_work
                            ? Minus(item.host.capacity, item.reserved)
                            : resources());
}

void host_index::Update(const placement_host& host) {
  const bool accelerated = host.capacity.accelerators > 0;
  resources reserved;
  const auto known = places_.find(host.host);
  if (known != places_.end()) {
    reserved =
        ClassOf(known->second.accelerated).places[known->second.index].reserved;
    Remove(host.host);
  }
  host_class& group = ClassOf(accelerated);
  std::size_t index = group.places.size();
  if (group.unused.empty()) {
    group.places.emplace_back();
  } else {
    index = group.unused.back();
    group.unused.pop_back();
  }
  group.places[index] = {host, reserved, true};
  places_[host.host] = {accelerated, index};
  Refresh(group, index);
}

void host_index::Remove(std::string_view host) {
  const auto known = places_.find(host);
  if (known == places_.end()) return;
  host_class& group = ClassOf(known->second.accelerated);
  const std::size_t index = known->second.index;
  group.places[index] = {};
  group.unused.push_back(index);
  Refresh(group, index);
  places_.erase(known);
}

std::string host_index::FindIn(host_class& group, const work_need& need,
                               std::span<const std::string> avoid) {
  if (group.places.empty()) return {};
  const auto accept = [&](std::size_t index) {
    if (index >= group.places.size()) return false;
    const place& item = group.places[index];
    return item.used && item.host.accepts_work &&
           std::find(avoid.begin(), avoid.end(), item.host.failure_domain) ==
               avoid.end();
  };
  const auto found =
      group.free.Find(need.amount, need.spread % group.places.size(), accept);
  if (!found) return {};
  place& item = group.places[*found];
  item.reserved = Plus(item.reserved, need.amount);
  Refresh(group, *found);
  return item.host.host;
}

result<std::string> host_index::Place(const work_need& need) {
  const std::span<const std::string> avoid(need.avoid_domains);
  const std::array<host_class*, 2> both = {&plain_, &accelerated_};
  for (const bool spread : {true, false}) {
    if (!spread && avoid.empty()) break;
    for (host_class* group : both) {
      const std::string host =
          FindIn(*group, need, spread ? avoid : std::span<const std::string>());
      if (!host.empty()) return host;
    }
  }
  return Refusal(need.amount);
}

failure host_index::Refusal(const resources& need) const {
  const auto any = [](std::size_t) { return true; };
  if (plain_.capacity.Find(need, 0, any) ||
      accelerated_.capacity.Find(need, 0, any)) {
    return {failure_kind::kFull, "no host has room now"};
  }
  const resources largest = resources::Larger(plain_.capacity.Largest(),
                                              accelerated_.capacity.Largest());
  std::string missing;
  AppendMissing(missing, "cores", need.cores, largest.cores);
  AppendMissing(missing, "MB memory", need.memory_mb, largest.memory_mb);
  AppendMissing(missing, "accelerators", need.accelerators,
                largest.accelerators);
  if (missing.empty()) missing = "all of it on one host";
  return {failure_kind::kInvalid, "can never run: needs " + missing};
}

void host_index::Release(std::string_view host, const resources& amount) {
  const auto known = places_.find(host);
  if (known == places_.end()) return;
  host_class& group = ClassOf(known->second.accelerated);
  place& item = group.places[known->second.index];
  item.reserved = Minus(item.reserved, amount);
  Refresh(group, known->second.index);
}

}  // namespace radishwing::placement
