#include "src/fairness/flow_node.h"

#include <algorithm>

namespace radishwing::fairness {

flow_node& flow_node::Child(std::string_view child) {
  auto found = children.find(child);
  if (found != children.end()) return *found->second;
  auto made = std::make_unique<flow_node>();
  made->parent = this;
  made->name = child;
  made->used_ms = clock_ms;
  return *children.emplace(std::string(child), std::move(made)).first->second;
}

void flow_node::AddWaiting(std::uint32_t service) {
  if (waiting_by_service.size() <= service) {
    waiting_by_service.resize(service + 1);
  }
  ++waiting_by_service[service];
  if (++waiting > 1 || !parent) return;
  used_ms = std::max(used_ms, parent->clock_ms);
  backlog_index = parent->backlog.size();
  parent->backlog.push_back(this);
}

void flow_node::RemoveWaiting(std::uint32_t service) {
  --waiting_by_service[service];
  if (--waiting > 0 || !parent) return;
  flow_node* last = parent->backlog.back();
  parent->backlog[backlog_index] = last;
  last->backlog_index = backlog_index;
  parent->backlog.pop_back();
}

flow_node* flow_node::LeastServed(std::uint32_t service) const {
  flow_node* best = nullptr;
  for (flow_node* child : backlog) {
    if (child->Waiting(service) == 0) continue;
    if (!best || child->used_ms < best->used_ms) best = child;
  }
  return best;
}

void flow_node::Sweep() {
  std::erase_if(children, [this](const auto& entry) {
    const flow_node& child = *entry.second;
    return child.present == 0 && (present == 0 || child.used_ms <= clock_ms);
  });
  if (present == 0) clock_ms = 0;
  for (auto& [name, child] : children) child->Sweep();
}

}  // namespace radishwing::fairness
