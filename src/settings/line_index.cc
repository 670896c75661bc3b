#include "src/settings/line_index.h"

#include <algorithm>

namespace radishwing::settings {

line_index::line_index(std::string_view text) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '\n') line_starts_.push_back(i + 1);
  }
}

text_position line_index::PositionOf(std::string_view text,
                                     std::size_t offset) const {
  offset = std::min(offset, text.size());
  auto next =
      std::upper_bound(line_starts_.begin(), line_starts_.end(), offset);
  const std::size_t start = *(next - 1);
  text_position position;
  position.line = static_cast<int>(next - line_starts_.begin());
  for (char c : text.substr(start, offset - start)) {
    const bool continuation = (static_cast<unsigned char>(c) & 0xC0) == 0x80;
    if (!continuation) ++position.column;
  }
  return position;
}

}  // namespace radishwing::settings
