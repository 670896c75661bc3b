#include "src/report/svg_bar.h"

#include <algorithm>

#include "src/report/html_page.h"
#include "src/report/text_page.h"

namespace radishwing::report {
namespace {

constexpr double kBarWidth = 120;  // In CSS pixels, as in kSvgOpen.
constexpr const char* kSvgOpen =
    "<svg width=\"120\" height=\"12\" role=\"img\">"
    "<rect width=\"120\" height=\"12\" fill=\"#eee\"/>";

}  // namespace

std::string RenderSvgBar(const std::vector<bar_segment>& segments) {
  std::string svg = kSvgOpen;
  double left = 0;
  for (const bar_segment& segment : segments) {
    const double width = std::clamp(segment.fraction * kBarWidth, 0.0,
                                    std::max(kBarWidth - left, 0.0));
    if (width <= 0) continue;
    svg += "<rect x=\"" + FormatFixed(left, 1) + "\" width=\"" +
           FormatFixed(width, 1) + "\" height=\"12\" fill=\"" + segment.colour +
           "\"><title>" + EscapeHtml(segment.title) + "</title></rect>";
    left += width;
  }
  return svg + "</svg>";
}

}  // namespace radishwing::report
