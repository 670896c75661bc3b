#pragma once

#include <string>

#include "src/report/fleet_report.h"

namespace radishwing::report {

/// Renders the report as a self-contained HTML page with inline styles and SVG
/// charts; it loads no external resources.
std::string RenderHtml(const fleet_report& report);

/// Escapes the characters `<`, `>`, `&` and `"` of `text`.
std::string EscapeHtml(std::string_view text);

}  // namespace radishwing::report
