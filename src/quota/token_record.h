#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "src/base/result.h"

namespace radishwing::quota {

/// The store record `tokens/<team>`. One compare-and-swap replaces it as a
/// whole. An entry of `grants` is written only by its own holder and by a
/// recovery, so that a holder can tell from it whether a write of which the
/// answer was lost has taken effect.
struct token_record {
  std::uint64_t epoch = 1;
  std::uint32_t limit = 0;  ///< The limit that the settings ask for.
  /// Per holder "<host>#<incarnation>": tokens taken from the record less those
  /// given back in this epoch. Lending does not change it, so it can be
  /// negative after a holder gave back tokens that it had borrowed.
  std::map<std::string, std::int64_t, std::less<>> grants;
  /// Tokens in circulation that belong to no listed grant, because the holder
  /// that took them has left while others still held them.
  std::int64_t unlisted = 0;
  std::string change_id;

  /// Upper bound of the tokens that all holders have together.
  std::int64_t Circulating() const;

  /// Tokens that a holder may take now.
  std::int64_t Unallocated() const;

  /// True while more tokens circulate than a lowered limit allows.
  bool LimitPending() const { return Circulating() > limit; }

  /// The limit in force: the old sum while a lowered limit is pending.
  std::int64_t LimitInForce() const;

  bool Lists(std::string_view holder) const { return grants.contains(holder); }

  bool operator==(const token_record&) const = default;
};

/// The host part of a holder "<host>#<incarnation>".
inline std::string_view HostOfHolder(std::string_view holder) {
  return holder.substr(0, holder.find('#'));
}

/// JSON text of `record` for the store.
std::string FormatTokenRecord(const token_record& record);

/// Reads the text of FormatTokenRecord. Fails with kInvalid.
result<token_record> ParseTokenRecord(std::string_view text);

}  // namespace radishwing::quota
