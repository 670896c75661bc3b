#include "src/entry/key_table.h"

#include "src/base/sha256.h"

namespace radishwing::entry {
namespace {

constexpr std::size_t kBucketDigits = 8;

}  // namespace

void key_table::Add(std::string sha256, key_owner owner) {
  std::string bucket = sha256.substr(0, kBucketDigits);
  entries_.emplace(std::move(bucket), entry{std::move(sha256), owner});
}

std::optional<key_owner> key_table::Find(std::string_view key) const {
  std::string hash = Sha256Hex(key);
  auto [first, last] = entries_.equal_range(hash.substr(0, kBucketDigits));
  std::optional<key_owner> owner;
  for (; first != last; ++first) {
    if (EqualConstantTime(first->second.sha256, hash)) {
      owner = first->second.owner;
    }
  }
  return owner;
}

}  // namespace radishwing::entry
