#pragma once

#include "src/metrics/metric_registry.h"

namespace radishwing::control {

class control_core;

/// Sets the gauges of a control process. On the decide thread, with each
/// heartbeat.
void UpdateMetrics(control_core& core, metrics::metric_registry& registry);

}  // namespace radishwing::control
