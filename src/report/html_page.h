#pragma once

#include <string>

#include "src/report/fleet_report.h"

namespace radishwing::report {

/// Renders the report as an HTML page with inline styles and SVG charts. The
/// page loads no external resources.
std::string RenderHtml(const fleet_report& report);

/// Returns `text` with the characters `<`, `>`, `&` and `"` escaped.
std::string EscapeHtml(std::string_view text);

}  // namespace radishwing::report
