#pragma once

#include <string>
#include <vector>

namespace radishwing::report {

// CSS colours for values that are good, need attention, or are bad.
inline constexpr const char* kGoodColour = "#2e8b57";
inline constexpr const char* kWarningColour = "#d9a400";
inline constexpr const char* kBadColour = "#c0392b";

/// One coloured segment of a bar.
struct bar_segment {
  double fraction = 0;  ///< Fraction of the bar's width, 0 to 1.
  std::string colour;   ///< CSS colour.
  std::string title;    ///< Text of the tooltip.
};

/// Renders a horizontal bar as inline SVG, with its segments from left to
/// right. Truncates segments that exceed the bar's width.
std::string RenderSvgBar(const std::vector<bar_segment>& segments);

}  // namespace radishwing::report
