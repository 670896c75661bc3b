#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace radishwing::settings {

/// Line and column of a character, starting at 1. Columns count Unicode code
/// points; a tab counts as one.
struct text_position {
  int line = 1;
  int column = 1;
};

/// Converts byte offsets in a text to line and column numbers.
class line_index {
 public:
  line_index() = default;
  explicit line_index(std::string_view text);

  /// Returns the position of the byte `offset` of `text`, which must be the
  /// text passed to the constructor. An offset past the end gives the position
  /// of the end.
  text_position PositionOf(std::string_view text, std::size_t offset) const;

 private:
  /// Byte offset of the start of each line.
  std::vector<std::size_t> line_starts_ = {0};
};

}  // namespace radishwing::settings
