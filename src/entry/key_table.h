#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace radishwing::entry {

/// The team that holds a key, and the key's number for later checks.
struct key_owner {
  std::uint32_t team = 0;
  std::uint32_t number = 0;
};

/// Maps the hash of an API key to its team. A look-up finds the bucket by a
/// part of the hash, which tells nothing about any key, and compares the whole
/// hash in constant time.
class key_table {
 public:
  /// `sha256` is 64 lower-case hexadecimal digits.
  void Add(std::string sha256, key_owner owner);

  /// The owner of the key, or nothing if no team has it.
  std::optional<key_owner> Find(std::string_view key) const;

 private:
  struct entry {
    std::string sha256;
    key_owner owner;
  };
  std::unordered_multimap<std::string, entry> entries_;
};

}  // namespace radishwing::entry
