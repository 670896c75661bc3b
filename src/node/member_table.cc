#include "src/node/member_table.h"

#include <algorithm>
#include <boost/json.hpp>

#include "src/base/json_fields.h"
#include "src/node/record_keys.h"

namespace radishwing::node {
namespace {

// Limits the memory for nodes that are kept as relays after their key was
// removed.
constexpr std::size_t kMaxRemovedNodes = 32;

bool DecodeMember(const std::string& text, member& out) {
  auto parsed = json_fields::Parse("member", text);
  if (!Ok(parsed)) return false;
  out.name = Value(parsed).String("node");
  out.address = Value(parsed).String("address");
  out.started_unix_ms = Value(parsed).Signed("started");
  out.cpu_millicores = static_cast<int>(Value(parsed).Signed("cpu_millis"));
  return Value(parsed).Valid();
}

}  // namespace

std::string EncodeMember(const member& node) {
  return boost::json::serialize(
      boost::json::object{{"node", node.name},
                          {"address", node.address},
                          {"started", node.started_unix_ms},
                          {"cpu_millis", node.cpu_millicores}});
}

void member_table::Reset(const std::vector<store::store_item>& items) {
  for (auto& [name, node] : registered_) removed_[name] = node;
  registered_.clear();
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
    registered_[name] = node;
    removed_.erase(name);
    return;
  }
  const auto it = registered_.find(name);
  if (it == registered_.end()) return;
  if (removed_.size() < kMaxRemovedNodes) removed_[name] = it->second;
  registered_.erase(it);
}

std::vector<member> member_table::Members() const {
  std::vector<member> members;
  for (const auto& [name, node] : registered_) members.push_back(node);
  for (const auto& [name, node] : removed_) members.push_back(node);
  return members;
}

std::size_t member_table::Rank(const member& self) const {
  const auto precedes_self = [&](const auto& entry) {
    const int cpu_difference =
        entry.second.cpu_millicores - self.cpu_millicores;
    return entry.first != self.name &&
           (cpu_difference > 0 ||
            (cpu_difference == 0 && entry.first < self.name));
  };
  return static_cast<std::size_t>(
      std::ranges::count_if(registered_, precedes_self));
}

bool member_table::HasMuchLargerNode(const member& self) const {
  return std::ranges::any_of(registered_, [&](const auto& entry) {
    return entry.second.cpu_millicores >= 2 * self.cpu_millicores;
  });
}

}  // namespace radishwing::node
