#include "tools/platform_fake/key_value_store.h"

#include <algorithm>
#include <utility>

namespace radishwing::platform_fake {
namespace {

// Deletions that a watch can still learn of; older ones need a new read.
constexpr std::size_t kDeletionsKept = 10000;

}  // namespace

std::optional<stored_item> key_value_store::Read(std::string_view key) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return std::nullopt;
  return stored_item{found->first, found->second.value, found->second.version};
}

std::vector<stored_item> key_value_store::ReadPrefix(
    std::string_view prefix) const {
  std::vector<stored_item> items;
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && it->first.starts_with(prefix); ++it) {
    items.push_back({it->first, it->second.value, it->second.version});
  }
  return items;
}

std::optional<std::vector<stored_item>> key_value_store::Changes(
    std::string_view prefix, std::uint64_t after) const {
  if (after < forgotten_ || after > revision_) return std::nullopt;
  std::vector<stored_item> items;
  for (stored_item& item : ReadPrefix(prefix)) {
    if (item.version > after) items.push_back(std::move(item));
  }
  for (auto it = deletions_.upper_bound(after); it != deletions_.end(); ++it) {
    if (it->second.starts_with(prefix) && !entries_.contains(it->second)) {
      items.push_back({it->second, "", it->first, true});
    }
  }
  std::sort(items.begin(), items.end(),
            [](const stored_item& a, const stored_item& b) {
              return a.version < b.version;
            });
  return items;
}

write_outcome key_value_store::Put(std::string_view key, std::uint64_t expect,
                                   std::string value, std::string_view lease) {
  const auto found = entries_.find(key);
  const std::uint64_t version =
      found == entries_.end() ? 0 : found->second.version;
  if (version != expect) return Conflict(key);
  if (!lease.empty() && !leases_.contains(lease)) {
    return {write_outcome::kind::kNoLease, 0, {}};
  }
  const std::string name(key);
  entry& e = entries_[name];
  Unbind(name, e.lease);
  e = {std::move(value), ++revision_, std::string(lease)};
  if (!lease.empty()) leases_.find(lease)->second.keys.insert(name);
  return {write_outcome::kind::kDone, revision_, {}};
}

write_outcome key_value_store::Delete(std::string_view key,
                                      std::uint64_t expect) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.version != expect) {
    return Conflict(key);
  }
  Remove(std::string(key));
  return {write_outcome::kind::kDone, revision_, {}};
}

std::string key_value_store::Grant(millis ttl_ms, millis now) {
  std::string id = "lease-" + std::to_string(++last_lease_);
  leases_[id] = {ttl_ms, now + ttl_ms, {}};
  return id;
}

bool key_value_store::Renew(std::string_view lease, millis now) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return false;
  found->second.expires_at = now + found->second.ttl_ms;
  return true;
}

bool key_value_store::Revoke(std::string_view lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return false;
  const std::set<std::string> keys = std::move(found->second.keys);
  leases_.erase(found);
  for (const std::string& key : keys) Remove(key);
  return true;
}

void key_value_store::Expire(millis now) {
  std::vector<std::string> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_at <= now) expired.push_back(id);
  }
  for (const std::string& id : expired) Revoke(id);
}

void key_value_store::Unbind(const std::string& key, const std::string& lease) {
  const auto found = leases_.find(lease);
  if (found != leases_.end()) found->second.keys.erase(key);
}

void key_value_store::Remove(const std::string& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return;
  Unbind(key, found->second.lease);
  entries_.erase(found);
  deletions_[++revision_] = key;
  if (deletions_.size() > kDeletionsKept) {
    forgotten_ = deletions_.begin()->first;
    deletions_.erase(deletions_.begin());
  }
}

write_outcome key_value_store::Conflict(std::string_view key) const {
  write_outcome outcome{write_outcome::kind::kConflict, 0, {}};
  outcome.current = Read(key).value_or(stored_item{std::string(key), "", 0});
  return outcome;
}

}  // namespace radishwing::platform_fake
