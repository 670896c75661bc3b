#pragma once

#include <string>
#include <vector>

namespace radishwing::report {

inline constexpr const char* kGoodColour = "#2e8b57";
inline constexpr const char* kWarningColour = "#d9a400";
inline constexpr const char* kBadColour = "#c0392b";

/// One segment of a bar.
struct bar_segment {
  double fraction = 0;  ///< Of the bar's width, 0 to 1.
  std::string colour;
  std::string title;  ///< Tooltip.
};

/// Renders a horizontal bar as inline SVG, with segments from left to right.
std::string RenderSvgBar(const std::vector<bar_segment>& segments);

}  // namespace radishwing::report
