#pragma once

#include <string>

namespace radishwing::settings {

/// The page docs/settings.md (Markdown), made from the schema tables.
std::string SchemaPage();

}  // namespace radishwing::settings
