#include "src/fairness/fair_queue.h"

#include <algorithm>

#include "src/fairness/run_time_mean.h"

namespace radishwing::fairness {

struct fair_queue::item {
  std::uint64_t id = 0;
  team_node* team = nullptr;
  flow_node* workspace = nullptr;
  std::uint32_t service = 0;
  std::uint8_t cls = 0;
  double expected_ms = 1;
  double charged_ms = 0;
  ticket previous = ticket_list::kNone;
  ticket next = ticket_list::kNone;
};

struct fair_queue::team_node {
  std::uint32_t index = 0;
  double weight = 1;
  double used_ms = 0;  ///< Slot time charged, divided by the weight.
  std::uint64_t busy_period = 0;
  bool at_limit = false;  ///< Passed over because the filter refused it.
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  std::array<flow_node, kWorkClasses> classes;
  std::array<std::size_t, kWorkClasses> backlog_index{};
  /// Of finished items, by class and service.
  std::array<std::vector<run_time_mean>, kWorkClasses> run_times;

  run_time_mean& RunTime(std::size_t cls, std::uint32_t service) {
    auto& means = run_times[cls];
    if (means.size() <= service) means.resize(service + 1);
    return means[service];
  }
};

fair_queue::fair_queue() = default;
fair_queue::~fair_queue() = default;

fair_queue::team_node& fair_queue::Team(std::uint32_t team) {
  if (teams_.size() <= team) teams_.resize(team + 1);
  if (!teams_[team]) {
    teams_[team] = std::make_unique<team_node>();
    teams_[team]->index = team;
  }
  return *teams_[team];
}

void fair_queue::SetWeight(std::uint32_t team, double weight) {
  // A weight of 0 would make the first charge infinite.
  Team(team).weight = std::max(weight, 1e-6);
}

ticket fair_queue::Allocate() {
  if (free_.empty()) {
    items_.emplace_back();
    return static_cast<ticket>(items_.size() - 1);
  }
  ticket number = free_.back();
  free_.pop_back();
  return number;
}

ticket fair_queue::Push(const queue_item& pushed) {
  ticket number = Allocate();
  item& entry = items_[number];
  entry = item{};
  entry.id = pushed.id;
  entry.service = pushed.service;
  entry.cls = static_cast<std::uint8_t>(pushed.cls);
  entry.expected_ms =
      std::max<double>(1, static_cast<double>(pushed.expected_ms));
  entry.team = &Team(pushed.team);
  if (entry.team->busy_period != busy_period_) {
    entry.team->busy_period = busy_period_;
    entry.team->used_ms = 0;
  }
  flow_node& root = entry.team->classes[entry.cls];
  entry.workspace = &root.Child(pushed.user).Child(pushed.workspace);
  for (flow_node* node = entry.workspace; node; node = node->parent) {
    ++node->present;
  }
  ++present_;
  floors_.Expect(pushed.cls, entry.expected_ms);
  Link(number, false);
  return number;
}

void fair_queue::Link(ticket number, bool at_front) {
  item& entry = items_[number];
  auto& lists = entry.workspace->lists;
  if (lists.size() <= entry.service) lists.resize(entry.service + 1);
  ticket_list& list = lists[entry.service];
  entry.previous = at_front ? ticket_list::kNone : list.tail;
  entry.next = at_front ? list.head : ticket_list::kNone;
  (entry.previous == ticket_list::kNone ? list.head
                                        : items_[entry.previous].next) = number;
  (entry.next == ticket_list::kNone ? list.tail : items_[entry.next].previous) =
      number;
  AddWaiting(entry);
}

void fair_queue::Unlink(ticket number) {
  item& entry = items_[number];
  ticket_list& list = entry.workspace->lists[entry.service];
  (entry.previous == ticket_list::kNone ? list.head
                                        : items_[entry.previous].next) =
      entry.next;
  (entry.next == ticket_list::kNone ? list.tail : items_[entry.next].previous) =
      entry.previous;
  RemoveWaiting(entry);
}

void fair_queue::AddWaiting(item& entry) {
  for (flow_node* node = entry.workspace; node; node = node->parent) {
    node->AddWaiting(entry.service);
  }
  team_node& team = *entry.team;
  if (team.waiting++ == 0) team.used_ms = std::max(team.used_ms, clock_ms_);
  if (team.classes[entry.cls].waiting == 1) {
    team.backlog_index[entry.cls] = backlog_[entry.cls].size();
    backlog_[entry.cls].push_back(&team);
  }
  if (waiting_by_service_.size() <= entry.service) {
    waiting_by_service_.resize(entry.service + 1);
  }
  ++waiting_by_service_[entry.service];
  ++waiting_;
}

void fair_queue::RemoveWaiting(item& entry) {
  for (flow_node* node = entry.workspace; node; node = node->parent) {
    node->RemoveWaiting(entry.service);
  }
  team_node& team = *entry.team;
  --team.waiting;
  if (team.classes[entry.cls].waiting == 0) {
    auto& backlog = backlog_[entry.cls];
    std::size_t index = team.backlog_index[entry.cls];
    backlog[index] = backlog.back();
    backlog[index]->backlog_index[entry.cls] = index;
    backlog.pop_back();
    if (backlog.empty()) floors_.Clear(static_cast<work_class>(entry.cls));
  }
  --waiting_by_service_[entry.service];
  --waiting_;
}

fair_queue::team_node* fair_queue::LeastServedTeam(
    std::size_t cls, std::uint32_t service, const team_filter& may_start) {
  team_node* best = nullptr;
  for (team_node* team : backlog_[cls]) {
    if (team->classes[cls].Waiting(service) == 0) continue;
    if (!may_start(team->index)) {
      team->at_limit = true;
      continue;
    }
    if (team->at_limit) {
      // Its own limit held it back: that earns no credit against the others.
      team->at_limit = false;
      team->used_ms = std::max(team->used_ms, clock_ms_);
    }
    if (!best || team->used_ms < best->used_ms) best = team;
  }
  return best;
}

std::optional<popped_item> fair_queue::PopClass(std::size_t cls,
                                                std::uint32_t service,
                                                const team_filter& may_start) {
  team_node* team = LeastServedTeam(cls, service, may_start);
  if (!team) return std::nullopt;
  clock_ms_ = std::max(clock_ms_, team->used_ms);
  flow_node* node = &team->classes[cls];
  // Class, user, workspace: two steps down.
  for (int depth = 0; depth < 2; ++depth) {
    flow_node* child = node->LeastServed(service);
    node->clock_ms = std::max(node->clock_ms, child->used_ms);
    node = child;
  }
  ticket number = node->lists[service].head;
  Unlink(number);
  item& entry = items_[number];
  ++team->running;
  ChangeCharge(entry, team->RunTime(cls, service).ValueOr(entry.expected_ms));
  return popped_item{entry.id, number};
}

std::optional<popped_item> fair_queue::Pop(std::uint32_t service,
                                           const team_filter& may_start) {
  if (WaitingOfService(service) == 0) return std::nullopt;
  for (std::size_t cls = kWorkClasses; cls-- > 1;) {
    if (!floors_.Due(static_cast<work_class>(cls))) continue;
    if (auto due = PopClass(cls, service, may_start)) return due;
  }
  for (std::size_t cls = 0; cls < kWorkClasses; ++cls) {
    if (auto next = PopClass(cls, service, may_start)) return next;
  }
  return std::nullopt;
}

void fair_queue::ChangeCharge(item& entry, double to_ms) {
  double change = to_ms - entry.charged_ms;
  if (change == 0) return;
  entry.charged_ms = to_ms;
  entry.team->used_ms += change / entry.team->weight;
  flow_node* workspace = entry.workspace;
  workspace->used_ms += change;
  workspace->parent->used_ms += change;
  std::array<bool, kWorkClasses> waiting{};
  for (std::size_t i = 0; i < kWorkClasses; ++i) {
    waiting[i] = !backlog_[i].empty();
  }
  floors_.Charge(static_cast<work_class>(entry.cls), change, waiting);
}

void fair_queue::Requeue(ticket number) {
  item& entry = items_[number];
  ChangeCharge(entry, 0);
  --entry.team->running;
  Link(number, true);
}

void fair_queue::Cancel(ticket number) {
  Unlink(number);
  Leave(number);
}

void fair_queue::Charge(ticket number, millis used_ms) {
  ChangeCharge(items_[number], static_cast<double>(used_ms));
}

void fair_queue::Finish(ticket number, millis used_ms) {
  item& entry = items_[number];
  const auto used = static_cast<double>(used_ms);
  ChangeCharge(entry, used);
  entry.team->RunTime(entry.cls, entry.service).Note(used);
  --entry.team->running;
  Leave(number);
}

void fair_queue::Leave(ticket number) {
  for (flow_node* node = items_[number].workspace; node; node = node->parent) {
    --node->present;
  }
  items_[number] = item{};
  free_.push_back(number);
  if (--present_ == 0) {
    ++busy_period_;
    clock_ms_ = 0;
  }
}

void fair_queue::Sweep() {
  for (auto& team : teams_) {
    if (!team) continue;
    for (flow_node& cls : team->classes) cls.Sweep();
  }
}

std::uint32_t fair_queue::WaitingOfService(std::uint32_t service) const {
  return service < waiting_by_service_.size() ? waiting_by_service_[service]
                                              : 0;
}

std::uint32_t fair_queue::WaitingOfTeam(std::uint32_t team) const {
  return team < teams_.size() && teams_[team] ? teams_[team]->waiting : 0;
}

std::uint32_t fair_queue::RunningOfTeam(std::uint32_t team) const {
  return team < teams_.size() && teams_[team] ? teams_[team]->running : 0;
}

}  // namespace radishwing::fairness
