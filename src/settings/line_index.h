#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace radishwing::settings {

/// Line and column of one character, both counted from 1. A column counts
/// characters (UTF-8 sequences), a tab is one character.
struct text_place {
  int line = 1;
  int column = 1;
};

/// Converts byte offsets of a text to lines and columns.
class line_index {
 public:
  line_index() = default;
  explicit line_index(std::string_view text);

  /// Place of the byte at `offset` of `text`, which must be the text that
  /// this index was made from. An offset past the end means the end.
  text_place Place(std::string_view text, std::size_t offset) const;

 private:
  std::vector<std::size_t> line_starts_ = {0};
};

}  // namespace radishwing::settings
