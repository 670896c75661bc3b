#pragma once

#include <cstdint>
#include <string_view>

#include "src/base/result.h"
#include "src/requests/roster_record.h"

namespace radishwing::requests {

/// Functions that compute the next roster for a compare-and-swap on the version
/// from which `record` was read. They fail with kConflict if the record does
/// not allow the change.

/// Adds a member. Fails while a hand-over is outstanding, or if another
/// incarnation of the same host is still listed.
result<roster_record> AddMember(const roster_record& record,
                                std::string_view id,
                                std::string_view data_centre,
                                std::string_view change_id);

/// Removes a member. While a hand-over is outstanding, only a member that owes
/// its own acknowledgement can be removed, which is how a failed one is: claims
/// of which no copy survived are then answered as unavailable.
result<roster_record> RemoveMember(const roster_record& record,
                                   std::string_view id,
                                   std::string_view change_id);

/// Records that `id` has handed over what the roster of `epoch` needs.
result<roster_record> AcknowledgeHandOver(const roster_record& record,
                                          std::string_view id,
                                          std::uint64_t epoch,
                                          std::string_view change_id);

/// Drops the settled former roster of `epoch`, whose claims have all expired.
result<roster_record> ForgetFormer(const roster_record& record,
                                   std::uint64_t epoch,
                                   std::string_view change_id);

}  // namespace radishwing::requests
