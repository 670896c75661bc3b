#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/fairness/queue_item.h"

namespace radishwing::fairness {

/// Hash that accepts views, so that look-ups build no string.
struct name_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view name) const {
    return std::hash<std::string_view>{}(name);
  }
};

/// First-in-first-out list of tickets, linked through the queue's item table.
struct ticket_list {
  static constexpr ticket kNone = ~ticket{0};
  ticket head = kNone;
  ticket tail = kNone;
};

/// One node below a team and class: the class itself, a user or a workspace.
/// Only workspaces hold tickets.
struct flow_node {
  flow_node* parent = nullptr;
  std::string name;
  double used_ms = 0;         ///< Virtual time: slot time charged so far.
  double clock_ms = 0;        ///< Virtual time of the child served last.
  std::uint32_t present = 0;  ///< Items waiting or running below.
  std::uint32_t waiting = 0;  ///< Items waiting below.
  std::vector<std::uint32_t> waiting_by_service;
  std::vector<ticket_list> lists;   ///< By service; workspaces only.
  std::vector<flow_node*> backlog;  ///< Children with waiting items.
  std::size_t backlog_index = 0;    ///< Own place in the parent's backlog.
  std::unordered_map<std::string, std::unique_ptr<flow_node>, name_hash,
                     std::equal_to<>>
      children;

  /// The child of that name, made if it is new.
  flow_node& Child(std::string_view child);

  std::uint32_t Waiting(std::uint32_t service) const {
    return service < waiting_by_service.size() ? waiting_by_service[service]
                                               : 0;
  }

  /// Counts one more waiting item here. A node that had none joins its
  /// parent's backlog at the parent's clock at the earliest: time without
  /// demand earns no credit.
  void AddWaiting(std::uint32_t service);

  /// Counts one waiting item less; the last one ends the backlog.
  void RemoveWaiting(std::uint32_t service);

  /// The backlogged child with an item of `service` that has used least.
  flow_node* LeastServed(std::uint32_t service) const;

  /// Removes children without items whose use is no longer ahead of the clock.
  void Sweep();
};

}  // namespace radishwing::fairness
