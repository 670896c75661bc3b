#pragma once

#include <span>

#include "src/settings/field_schema.h"

namespace radishwing::settings {

/// Schema of the fleet's settings tree.
std::span<const field_schema> FleetSchema();

}  // namespace radishwing::settings
