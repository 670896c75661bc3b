#pragma once

#include <span>

#include "src/settings/field_schema.h"

namespace radishwing::settings {

/// Returns the schema of the fleet settings.
std::span<const field_schema> FleetSchema();

}  // namespace radishwing::settings
