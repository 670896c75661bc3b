#include "src/quota/lending.h"

#include <algorithm>

namespace radishwing::quota {
namespace {

constexpr std::uint32_t kLargestBatch = 32;
constexpr std::uint32_t kLoanMargin = 8;

std::uint32_t HalfRoundedUp(std::uint32_t count) {
  return count / 2 + count % 2;
}

}  // namespace

std::uint32_t LoanMaximum(std::uint32_t free) { return HalfRoundedUp(free); }

std::uint32_t BatchMaximum(std::uint32_t free) {
  return std::min(kLargestBatch, HalfRoundedUp(free));
}

const spare_tokens* ChooseLender(std::span<const spare_tokens> peers,
                                 std::string_view self, std::uint64_t epoch) {
  const spare_tokens* best = nullptr;
  for (const spare_tokens& peer : peers) {
    if (peer.holder == self || peer.epoch != epoch || peer.count == 0) continue;
    if (best == nullptr || peer.count > best->count ||
        (peer.count == best->count && peer.holder < best->holder)) {
      best = &peer;
    }
  }
  return best;
}

std::uint32_t LoanSize(std::uint32_t want) { return want + kLoanMargin; }

}  // namespace radishwing::quota
