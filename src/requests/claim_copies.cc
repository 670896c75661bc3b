#include "src/requests/claim_copies.h"

#include <xxhash.h>

#include <cstdint>

namespace radishwing::requests {
namespace {

struct candidate {
  const roster_member* member = nullptr;
  std::uint64_t score = 0;

  bool Beats(const candidate& other) const {
    if (other.member == nullptr || score != other.score) {
      return other.member == nullptr || score > other.score;
    }
    return member->id < other.member->id;
  }
};

std::uint64_t Score(const roster_member& member, std::string_view request_id) {
  const std::string_view host = HostOf(member.id);
  const std::uint64_t seed = XXH3_64bits(host.data(), host.size());
  return XXH3_64bits_withSeed(request_id.data(), request_id.size(), seed);
}

}  // namespace

claim_copies ChooseCopies(std::span<const roster_member> members,
                          std::string_view request_id) {
  candidate primary;
  for (const roster_member& member : members) {
    const candidate next{&member, Score(member, request_id)};
    if (next.Beats(primary)) primary = next;
  }
  candidate elsewhere;
  candidate anywhere;
  for (const roster_member& member : members) {
    if (&member == primary.member) continue;
    const candidate next{&member, Score(member, request_id)};
    if (next.Beats(anywhere)) anywhere = next;
    if (member.data_centre == primary.member->data_centre) continue;
    if (next.Beats(elsewhere)) elsewhere = next;
  }
  const candidate second = elsewhere.member != nullptr ? elsewhere : anywhere;
  return {primary.member, second.member};
}

}  // namespace radishwing::requests
