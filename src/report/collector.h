#pragma once

#include <functional>
#include <string>
#include <vector>

#include "src/report/burn_report.h"
#include "src/report/record_store.h"

namespace radishwing::report {

/// Reads `/metrics` of the daemon at "ip:port".
using metrics_fetch =
    std::function<result<std::string>(const std::string& address)>;

/// Scrapes every daemon, adds the scrapes to the kept windows and computes the
/// report. What cannot be read is named in burn_report::gaps.
burn_report Collect(const settings::fleet_settings& settings,
                    const std::vector<std::string>& daemons,
                    const metrics_fetch& fetch, const record_store& store,
                    millis now);

}  // namespace radishwing::report
