#pragma once

#include <cstdint>
#include <string_view>

#include "src/base/result.h"
#include "src/maintenance/ledger_record.h"

namespace radishwing::maintenance {

/// Functions that compute the next ledger for a compare-and-swap on the version
/// from which `ledger` was read. They fail with kConflict and the reason in
/// words if the ledger does not allow the change.

/// Adds a host that has become active in the pool.
result<ledger_record> ListHost(const ledger_record& ledger,
                               std::string_view host, std::string_view rack,
                               std::string_view change_id);

/// Removes a host that has left the pool or the fleet. Its stop must have been
/// granted or its failure entered before.
result<ledger_record> UnlistHost(const ledger_record& ledger,
                                 std::string_view host,
                                 std::string_view change_id);

/// Grants a planned stop: only if the available hosts after it are at least the
/// floor, and within the rack of the other planned stops.
result<ledger_record> GrantDrain(const ledger_record& ledger,
                                 std::string_view host, std::string_view reason,
                                 std::string_view change_id);

/// Enters an unplanned failure, also of a host whose stop was granted.
result<ledger_record> EnterFailure(const ledger_record& ledger,
                                   std::string_view host,
                                   std::string_view change_id);

/// Makes a host available again.
result<ledger_record> ReleaseHost(const ledger_record& ledger,
                                  std::string_view host,
                                  std::string_view change_id);

/// Takes over a floor from the settings. A floor above the available hosts
/// stops further grants.
ledger_record SetFloor(const ledger_record& ledger, std::uint32_t floor,
                       std::string_view change_id);

}  // namespace radishwing::maintenance
