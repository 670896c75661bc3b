#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace radishwing::quota {

/// What a peer's digest says about its free tokens of one team.
struct spare_tokens {
  std::string holder;
  std::uint32_t count = 0;
  std::uint64_t epoch = 0;
};

/// Most tokens that a holder with `free` free tokens lends at once: half of
/// them, rounded up, so that two holders do not pass the same tokens back and
/// forth.
std::uint32_t LoanMaximum(std::uint32_t free);

/// Most tokens that an entry gets in one batch: half of the free ones, rounded
/// up, at most 32. An entry acquires in batches of milliseconds; larger ones
/// only keep tokens from peers.
std::uint32_t BatchMaximum(std::uint32_t free);

/// The peer to ask for a loan in `epoch`: the one with most spare tokens, the
/// least name among equals. Null if none has any. `self` is never chosen.
const spare_tokens* ChooseLender(std::span<const spare_tokens> peers,
                                 std::string_view self, std::uint64_t epoch);

/// How many tokens to ask of a lender for a shortage of `want`: one batch
/// more than the shortage, so that not every request waits for a loan.
std::uint32_t LoanSize(std::uint32_t want);

}  // namespace radishwing::quota
