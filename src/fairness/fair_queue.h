#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "src/base/clock.h"
#include "src/fairness/class_floors.h"
#include "src/fairness/flow_node.h"
#include "src/fairness/queue_item.h"

namespace radishwing::fairness {

/// Weighted fair queue of one pool by slot time used. Among the classes, urgent
/// goes before interactive before long, within class_floors; then the team
/// that has used least for its weight, then its user, then the workspace.
/// Within a workspace, first in is first out. Work-conserving: whoever may
/// start is started. A scan over the backlogged teams and users picks the
/// next, everything else takes constant time.
class fair_queue {
 public:
  fair_queue();
  ~fair_queue();

  /// Tells whether a team may start one more item now.
  using team_filter = std::function<bool(std::uint32_t team)>;

  /// Weight of a team among the others, such as its share. Default 1.
  void SetWeight(std::uint32_t team, double weight);

  ticket Push(const queue_item& item);

  /// Takes the next item of `service` whose team passes the filter, and
  /// charges the mean time of such items, or at first its expected time.
  std::optional<popped_item> Pop(std::uint32_t service,
                                 const team_filter& may_start);

  /// Puts a popped item back at the front and takes back its charge.
  void Requeue(ticket number);

  /// Removes a waiting item. Constant time.
  void Cancel(ticket number);

  /// Corrects the charge of a running item to `used_ms` so far.
  void Charge(ticket number, millis used_ms);

  /// Ends a running item, which used `used_ms` of slot time.
  void Finish(ticket number, millis used_ms);

  /// Forgets users and workspaces that no longer matter. Call every second.
  void Sweep();

  std::uint32_t Waiting() const { return waiting_; }
  /// True if no item waits or runs.
  bool Idle() const { return present_ == 0; }
  std::uint32_t WaitingOfService(std::uint32_t service) const;
  std::uint32_t WaitingOfTeam(std::uint32_t team) const;
  std::uint32_t RunningOfTeam(std::uint32_t team) const;

 private:
  struct item;
  struct team_node;

  team_node& Team(std::uint32_t team);
  team_node* LeastServedTeam(std::size_t cls, std::uint32_t service,
                             const team_filter& may_start);
  std::optional<popped_item> PopClass(std::size_t cls, std::uint32_t service,
                                      const team_filter& may_start);
  ticket Allocate();
  void Link(ticket number, bool at_front);
  void Unlink(ticket number);
  void AddWaiting(item& entry);
  void RemoveWaiting(item& entry);
  void ChangeCharge(item& entry, double to_ms);
  void Leave(ticket number);

  std::vector<item> items_;
  std::vector<ticket> free_;
  std::vector<std::unique_ptr<team_node>> teams_;
  std::array<std::vector<team_node*>, kWorkClasses> backlog_;
  std::vector<std::uint32_t> waiting_by_service_;
  class_floors floors_;
  double clock_ms_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t present_ = 0;
  /// Grows whenever the queue becomes empty; use of earlier periods is void.
  std::uint64_t busy_period_ = 0;
};

}  // namespace radishwing::fairness
