#pragma once

#include <string>
#include <vector>

namespace radishwing::report {

inline constexpr const char* kGood = "#2e8b57";
inline constexpr const char* kWarning = "#d9a400";
inline constexpr const char* kBad = "#c0392b";

/// One part of a bar.
struct bar_part {
  double part = 0;  ///< Of the whole bar, 0 to 1.
  std::string colour;
  std::string title;  ///< Shown by browsers under the pointer.
};

/// A horizontal bar as inline SVG, parts from left to right.
std::string SvgBar(const std::vector<bar_part>& parts);

}  // namespace radishwing::report
