#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::platform_fake {

/// One key as of a revision. A deleted key has an empty value.
struct stored_item {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool deleted = false;
};

/// Effect of a write. On a conflict, `current` is what the key holds
/// (version 0 if it does not exist).
struct write_outcome {
  enum class kind { kDone, kConflict, kNoLease };
  kind what = kind::kDone;
  std::uint64_t version = 0;
  stored_item current;
};

/// Compare-and-swap store with leases and a log of deletions. Time is passed
/// in; nothing expires by itself.
class key_value_store {
 public:
  std::uint64_t Revision() const { return revision_; }
  std::optional<stored_item> Read(std::string_view key) const;
  std::vector<stored_item> ReadPrefix(std::string_view prefix) const;

  /// Changes under `prefix` after revision `after`, oldest first. Nothing if
  /// deletions after `after` have been forgotten.
  std::optional<std::vector<stored_item>> Changes(std::string_view prefix,
                                                  std::uint64_t after) const;

  /// `expect` 0 requires that the key does not exist. An empty `lease` binds
  /// the key to none.
  write_outcome Put(std::string_view key, std::uint64_t expect,
                    std::string value, std::string_view lease);
  write_outcome Delete(std::string_view key, std::uint64_t expect);

  std::string Grant(millis ttl_ms, millis now);
  /// False if the lease does not exist.
  bool Renew(std::string_view lease, millis now);
  bool Revoke(std::string_view lease);
  /// Revokes the leases that have expired by `now`.
  void Expire(millis now);

 private:
  struct entry {
    std::string value;
    std::uint64_t version = 0;
    std::string lease;
  };
  struct lease_state {
    millis ttl_ms = 0;
    millis expires_at = 0;
    std::set<std::string> keys;
  };

  void Unbind(const std::string& key, const std::string& lease);
  void Remove(const std::string& key);
  write_outcome Conflict(std::string_view key) const;

  std::uint64_t revision_ = 0;
  std::uint64_t forgotten_ = 0;  ///< Newest deletion not in `deletions_`.
  std::uint64_t last_lease_ = 0;
  std::map<std::string, entry, std::less<>> entries_;
  std::map<std::uint64_t, std::string> deletions_;
  std::map<std::string, lease_state, std::less<>> leases_;
};

}  // namespace radishwing::platform_fake
