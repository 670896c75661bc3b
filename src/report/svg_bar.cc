#include "src/report/svg_bar.h"

#include <algorithm>

#include "src/report/html_page.h"
#include "src/report/text_page.h"

namespace radishwing::report {
namespace {

constexpr double kWidth = 120;
constexpr const char* kOpen =
    "<svg width=\"120\" height=\"12\" role=\"img\">"
    "<rect width=\"120\" height=\"12\" fill=\"#eee\"/>";

}  // namespace

std::string SvgBar(const std::vector<bar_part>& parts) {
  std::string svg = kOpen;
  double left = 0;
  for (const bar_part& part : parts) {
    const double width =
        std::clamp(part.part * kWidth, 0.0, std::max(kWidth - left, 0.0));
    if (width <= 0) continue;
    svg += "<rect x=\"" + FixedNumber(left, 1) + "\" width=\"" +
           FixedNumber(width, 1) + "\" height=\"12\" fill=\"" + part.colour +
           "\"><title>" + EscapeHtml(part.title) + "</title></rect>";
    left += width;
  }
  return svg + "</svg>";
}

}  // namespace radishwing::report
