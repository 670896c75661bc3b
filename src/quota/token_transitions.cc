#include "src/quota/token_transitions.h"

#include <algorithm>
#include <string>

namespace radishwing::quota {
namespace {

failure Conflict(std::string_view holder, std::string_view text) {
  return {failure_kind::kConflict,
          "holder \"" + std::string(holder) + "\" " + std::string(text)};
}

token_record Next(const token_record& record, std::string_view change_id) {
  token_record next = record;
  next.change_id = change_id;
  return next;
}

std::int64_t Available(const token_record& record, std::uint32_t want) {
  return std::min<std::int64_t>(want, record.Unallocated());
}

}  // namespace

token_record NewTokenRecord(std::uint32_t limit, std::string_view change_id) {
  token_record record;
  record.limit = limit;
  record.change_id = change_id;
  return record;
}

result<token_record> JoinHolder(const token_record& record,
                                std::string_view holder, std::uint32_t want,
                                std::string_view change_id) {
  for (const auto& [listed, grant] : record.grants) {
    if (HostOfHolder(listed) == HostOfHolder(holder)) {
      return Conflict(holder, "finds its host listed as \"" + listed + "\"");
    }
  }
  token_record next = Next(record, change_id);
  next.grants.emplace(holder, Available(record, want));
  return next;
}

result<token_record> TakeTokens(const token_record& record,
                                std::string_view holder, std::uint64_t epoch,
                                std::uint32_t want,
                                std::string_view change_id) {
  if (record.epoch != epoch) return Conflict(holder, "is in another epoch");
  if (!record.Lists(holder)) return Conflict(holder, "is not listed");
  const std::int64_t count = Available(record, want);
  if (count == 0) return Conflict(holder, "finds no unallocated token");
  token_record next = Next(record, change_id);
  next.grants.find(holder)->second += count;
  return next;
}

result<token_record> GiveBackTokens(const token_record& record,
                                    std::string_view holder,
                                    std::uint64_t epoch, std::uint32_t count,
                                    std::string_view change_id) {
  if (record.epoch != epoch) return Conflict(holder, "is in another epoch");
  if (!record.Lists(holder)) return Conflict(holder, "is not listed");
  if (count > record.Circulating()) {
    return Conflict(holder, "gives back more than circulates");
  }
  token_record next = Next(record, change_id);
  next.grants.find(holder)->second -= count;
  return next;
}

result<token_record> LeaveHolder(const token_record& record,
                                 std::string_view holder, std::uint64_t epoch,
                                 std::int64_t balance,
                                 std::string_view change_id) {
  if (record.epoch != epoch) return Conflict(holder, "is in another epoch");
  const auto listed = record.grants.find(holder);
  if (listed == record.grants.end()) return Conflict(holder, "is not listed");
  token_record next = Next(record, change_id);
  next.unlisted += listed->second - balance;
  next.grants.erase(std::string(holder));
  if (next.grants.empty()) {
    // Nobody is left who could hold a token: the rest was lost on the way.
    next.unlisted = 0;
    ++next.epoch;
  }
  return next;
}

result<token_record> SucceedHolder(const token_record& record,
                                   std::string_view dead,
                                   std::string_view holder, std::uint32_t held,
                                   std::string_view change_id) {
  const auto listed = record.grants.find(dead);
  if (listed == record.grants.end()) return Conflict(dead, "is not listed");
  if (record.Lists(holder)) return Conflict(holder, "is listed already");
  token_record next = Next(record, change_id);
  next.grants.find(dead)->second -= held;
  next.grants.emplace(holder, held);
  return next;
}

token_record SetLimit(const token_record& record, std::uint32_t limit,
                      std::string_view change_id) {
  token_record next = Next(record, change_id);
  next.limit = limit;
  return next;
}

}  // namespace radishwing::quota
