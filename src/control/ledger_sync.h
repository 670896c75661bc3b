#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "src/maintenance/host_record.h"
#include "src/maintenance/ledger_record.h"

namespace radishwing::control {

/// Host records of one data centre by host.
using host_records = std::map<std::string, maintenance::host_record>;

/// The ledger as the records and the floor of the settings demand it, or
/// nothing if it is right already. Lists hosts of the pool, removes hosts that
/// have left it, and enters stops that the ledger does not know. Never makes a
/// listed host available. `records` must have been read after `ledger`.
std::optional<maintenance::ledger_record> SyncedLedger(
    const maintenance::ledger_record& ledger, const host_records& records,
    std::uint32_t floor);

}  // namespace radishwing::control
