#pragma once

#include <functional>
#include <string>
#include <vector>

#include "src/report/fleet_report.h"
#include "src/report/record_store.h"

namespace radishwing::report {

/// Fetches `/metrics` from the daemon at "ip:port".
using metrics_fetch =
    std::function<result<std::string>(const std::string& address)>;

/// Scrapes every daemon, adds the scrapes to the stored records and builds the
/// report. Failed reads are listed in fleet_report::read_errors.
fleet_report CollectReport(const settings::fleet_settings& settings,
                           const std::vector<std::string>& daemons,
                           const metrics_fetch& fetch,
                           const record_store& store, millis now);

}  // namespace radishwing::report
