#pragma once

#include <cstdint>
#include <string_view>

#include "src/base/result.h"
#include "src/quota/token_record.h"

namespace radishwing::quota {

/// Functions that compute the next record for a compare-and-swap on the
/// version from which `record` was read. All of them set `change_id`. They fail
/// with kConflict if the record does not allow the change, for example because
/// it is in another epoch than the caller's account.

/// The first record of a team.
token_record NewTokenRecord(std::uint32_t limit, std::string_view change_id);

/// Adds a holder that has no tokens yet; it takes up to `want` of the
/// unallocated ones. Fails if an earlier incarnation on its host is listed: use
/// SucceedHolder then.
result<token_record> JoinHolder(const token_record& record,
                                std::string_view holder, std::uint32_t want,
                                std::string_view change_id);

/// Takes up to `want` unallocated tokens for a listed holder in `epoch`.
result<token_record> TakeTokens(const token_record& record,
                                std::string_view holder, std::uint64_t epoch,
                                std::uint32_t want, std::string_view change_id);

/// Gives back `count` tokens, which the holder's account has debited before.
result<token_record> GiveBackTokens(const token_record& record,
                                    std::string_view holder,
                                    std::uint64_t epoch, std::uint32_t count,
                                    std::string_view change_id);

/// Removes a holder that has nothing in use. `balance` is what its closed
/// account held last.
result<token_record> LeaveHolder(const token_record& record,
                                 std::string_view holder, std::uint64_t epoch,
                                 std::int64_t balance,
                                 std::string_view change_id);

/// Adds the control incarnation that runs in the place of a dead one on the
/// same host. `held` is what the entry beside it states it holds (0 if no entry
/// has opened a session for as long as entries use tokens without one). These
/// tokens move from the grant of the dead one to the new one. The dead one
/// stays listed: its other tokens may still be in use, and only a recovery
/// brings them back (token_recovery::Superseded).
result<token_record> SucceedHolder(const token_record& record,
                                   std::string_view dead,
                                   std::string_view holder, std::uint32_t held,
                                   std::string_view change_id);

/// Sets the limit that the settings ask for. A lowered limit is pending until
/// enough tokens were given back.
token_record SetLimit(const token_record& record, std::uint32_t limit,
                      std::string_view change_id);

}  // namespace radishwing::quota
