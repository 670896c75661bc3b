#pragma once

#include <string>

namespace radishwing::settings {

/// Generates the Markdown reference page docs/settings.md from the schema.
std::string RenderSchemaPage();

}  // namespace radishwing::settings
