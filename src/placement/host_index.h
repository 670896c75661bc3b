#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/base/result.h"
#include "src/placement/resource_tree.h"
#include "src/placement/resources.h"

namespace radishwing::placement {

/// A host on which work can be placed.
struct placement_host {
  std::string host;
  std::string failure_domain;  ///< Its rack.
  resources capacity;
  bool accepts_work = true;  ///< False while it drains or has failed.
};

/// Work that looks for a host.
struct work_need {
  resources amount;
  /// Failure domains that already run a part of the same work. They are used
  /// only if no other domain has room.
  std::vector<std::string> avoid_domains;
  std::uint64_t spread = 0;  ///< Any number; spreads work over equal hosts.
};

/// The hosts of a pool or fleet with what is free on them. Work without
/// accelerators goes to hosts without accelerators first. Not thread-safe.
class host_index {
 public:
  /// Adds a host or changes it; what is reserved on it stays reserved.
  void Update(const placement_host& host);

  /// Removes a host with its reservations.
  void Remove(std::string_view host);

  /// Chooses a host and reserves `need.amount` on it. Fails with kInvalid and
  /// names what is missing if no host is large enough even when idle, with
  /// kFull if there is no room now.
  result<std::string> Place(const work_need& need);

  /// Gives back a reservation. Unknown hosts are ignored.
  void Release(std::string_view host, const resources& amount);

  std::size_t Size() const { return places_.size(); }

 private:
  struct place {
    placement_host host;
    resources reserved;
    bool used = false;
  };
  /// Hosts with or without accelerators.
  struct host_class {
    std::vector<place> places;
    std::vector<std::size_t> unused;
    resource_tree free;
    resource_tree capacity;
  };
  struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  struct location {
    bool accelerated = false;
    std::size_t index = 0;
  };

  host_class& ClassOf(bool accelerated) {
    return accelerated ? accelerated_ : plain_;
  }
  void Refresh(host_class& group, std::size_t index);
  std::string FindIn(host_class& group, const work_need& need,
                     std::span<const std::string> avoid);
  failure Refusal(const resources& need) const;

  host_class plain_;
  host_class accelerated_;
  std::unordered_map<std::string, location, string_hash, std::equal_to<>>
      places_;
};

}  // namespace radishwing::placement
