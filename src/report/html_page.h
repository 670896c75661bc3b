#pragma once

#include <string>

#include "src/report/burn_report.h"

namespace radishwing::report {

/// The report as one HTML page. It loads nothing: styles and the charts (SVG)
/// are part of it.
std::string HtmlPage(const burn_report& report);

/// `text` with the characters that have a meaning in HTML escaped.
std::string EscapeHtml(std::string_view text);

}  // namespace radishwing::report
