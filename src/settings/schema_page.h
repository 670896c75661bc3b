#pragma once

#include <string>

namespace radishwing::settings {

/// Generates the Markdown reference page docs/settings.md from the schema and
/// the presets of the fleet settings.
std::string RenderSchemaPage();

}  // namespace radishwing::settings
