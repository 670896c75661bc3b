#pragma once

#include <string>

namespace radishwing::settings {

/// Returns the Markdown reference page docs/settings.md, generated from the
/// schema.
std::string SchemaPage();

}  // namespace radishwing::settings
