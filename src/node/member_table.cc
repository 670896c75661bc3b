#include "src/node/member_table.h"

#include <algorithm>
#include <boost/json.hpp>

#include "src/base/json_fields.h"
#include "src/node/record_keys.h"

namespace radishwing::node {
namespace {

// Removed nodes are remembered as relays, up to this number to bound memory.
constexpr std::size_t kMaxDepartedNodes = 32;

bool DecodeMember(const std::string& text, member& out) {
  auto parsed = json_fields::Parse("member", text);
  if (!Ok(parsed)) return false;
  out.name = Value(parsed).String("node");
  out.address = Value(parsed).String("address");
  out.started_unix_ms = Value(parsed).Signed("started");
  out.cpu_millis = static_cast<int>(Value(parsed).Signed("cpu_millis"));
  return Value(parsed).Valid();
}

}  // namespace

std::string EncodeMember(const member& node) {
  return boost::json::serialize(
      boost::json::object{{"node", node.name},
                          {"address", node.address},
                          {"started", node.started_unix_ms},
                          {"cpu_millis", node.cpu_millis}});
}

void member_table::Reset(const std::vector<store::store_item>& items) {
  for (auto& [name, node] : live_) departed_[name] = node;
  live_.clear();
  leader_ = {};
  for (const store::store_item& item : items) Apply(item);
}

void member_table::Apply(const store::store_item& item) {
  member node;
  const bool present = item.revision > 0 && DecodeMember(item.value, node);
  if (item.key == ShardKey()) {
    leader_ = {};
    if (present) {
      leader_ = {node.name, node.address, node.started_unix_ms, item.revision};
    }
    return;
  }
  if (!item.key.starts_with(kNodePrefix)) return;
  const std::string name = item.key.substr(kNodePrefix.size());
  if (present) {
    live_[name] = node;
    departed_.erase(name);
    return;
  }
  const auto it = live_.find(name);
  if (it == live_.end()) return;
  if (departed_.size() < kMaxDepartedNodes) departed_[name] = it->second;
  live_.erase(it);
}

std::vector<member> member_table::Members() const {
  std::vector<member> members;
  for (const auto& [name, node] : live_) members.push_back(node);
  for (const auto& [name, node] : departed_) members.push_back(node);
  return members;
}

std::size_t member_table::Rank(const member& self) const {
  const auto before = [&](const auto& entry) {
    const int more = entry.second.cpu_millis - self.cpu_millis;
    return entry.first != self.name &&
           (more > 0 || (more == 0 && entry.first < self.name));
  };
  return static_cast<std::size_t>(std::ranges::count_if(live_, before));
}

bool member_table::HasMuchLargerNode(const member& self) const {
  return std::ranges::any_of(live_, [&](const auto& entry) {
    return entry.second.cpu_millis >= 2 * self.cpu_millis;
  });
}

}  // namespace radishwing::node
