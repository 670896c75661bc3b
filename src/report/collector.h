#pragma once

#include <functional>
#include <string>
#include <vector>

#include "src/report/fleet_report.h"
#include "src/report/record_store.h"

namespace radishwing::report {

/// Function that returns the text of `/metrics` from the node at `address`,
/// "ip:port".
using metrics_fetcher =
    std::function<result<std::string>(const std::string& address)>;

/// Scrapes the metrics of the nodes at `addresses`, adds their counters to the
/// records in `store` and builds the report. Lists failed reads in
/// fleet_report::read_errors; `now` is wall-clock time in ms.
fleet_report CollectReport(const settings::fleet_settings& settings,
                           const std::vector<std::string>& addresses,
                           const metrics_fetcher& fetch,
                           const record_store& store, millis now);

}  // namespace radishwing::report
