#include "src/ctl/text_diff.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace radishwing::ctl {
namespace {

constexpr std::size_t kContext = 2;
// Cells of the table of common lengths. Larger changes are shown as one block.
constexpr std::size_t kMaxCells = 4'000'000;

using lines = std::vector<std::string_view>;

struct diff_line {
  char mark;  ///< ' ', '-' or '+'.
  std::string_view text;
};

lines Split(std::string_view text) {
  lines split;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    split.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return split;
}

/// Longest common subsequence of a and b, both without common ends.
std::vector<diff_line> DiffMiddle(const lines& a, const lines& b) {
  std::vector<diff_line> diff;
  const std::size_t width = b.size() + 1;
  const bool whole = (a.size() + 1) * width > kMaxCells;
  std::vector<std::uint32_t> common(whole ? 0 : (a.size() + 1) * width);
  for (std::size_t i = a.size(); !whole && i-- > 0;) {
    for (std::size_t j = b.size(); j-- > 0;) {
      common[i * width + j] = a[i] == b[j]
                                  ? common[(i + 1) * width + j + 1] + 1
                                  : std::max(common[(i + 1) * width + j],
                                             common[i * width + j + 1]);
    }
  }
  std::size_t i = 0;
  std::size_t j = 0;
  while (!whole && i < a.size() && j < b.size()) {
    if (a[i] == b[j]) {
      diff.push_back({' ', a[i++]});
      ++j;
    } else if (common[(i + 1) * width + j] >= common[i * width + j + 1]) {
      diff.push_back({'-', a[i++]});
    } else {
      diff.push_back({'+', b[j++]});
    }
  }
  while (i < a.size()) diff.push_back({'-', a[i++]});
  while (j < b.size()) diff.push_back({'+', b[j++]});
  return diff;
}

std::vector<diff_line> DiffLines(const lines& a, const lines& b) {
  std::size_t head = 0;
  while (head < std::min(a.size(), b.size()) && a[head] == b[head]) ++head;
  std::size_t tail = 0;
  while (tail < std::min(a.size(), b.size()) - head &&
         a[a.size() - 1 - tail] == b[b.size() - 1 - tail]) {
    ++tail;
  }
  std::vector<diff_line> diff;
  for (std::size_t i = 0; i < head; ++i) diff.push_back({' ', a[i]});
  const lines middle_a(a.begin() + head, a.end() - tail);
  const lines middle_b(b.begin() + head, b.end() - tail);
  for (const diff_line& line : DiffMiddle(middle_a, middle_b)) {
    diff.push_back(line);
  }
  for (std::size_t i = a.size() - tail; i < a.size(); ++i) {
    diff.push_back({' ', a[i]});
  }
  return diff;
}

/// Marks the lines that are changed or within kContext of a change.
std::vector<bool> ShownLines(const std::vector<diff_line>& diff) {
  std::vector<bool> shown(diff.size());
  for (std::size_t i = 0; i < diff.size(); ++i) {
    if (diff[i].mark == ' ') continue;
    const std::size_t first = i < kContext ? 0 : i - kContext;
    const std::size_t last = std::min(diff.size(), i + kContext + 1);
    std::fill(shown.begin() + first, shown.begin() + last, true);
  }
  return shown;
}

}  // namespace

std::string UnifiedDiff(std::string_view old_text, std::string_view new_text,
                        std::string_view old_label,
                        std::string_view new_label) {
  if (old_text == new_text) return "";
  const std::vector<diff_line> diff =
      DiffLines(Split(old_text), Split(new_text));
  const std::vector<bool> shown = ShownLines(diff);
  std::string text;
  text.append("--- ").append(old_label).append("\n+++ ");
  text.append(new_label).append("\n");
  std::size_t old_line = 1;
  std::size_t new_line = 1;
  for (std::size_t i = 0; i < diff.size(); ++i) {
    if (shown[i]) {
      if (i == 0 || !shown[i - 1]) {
        text += "@@ -" + std::to_string(old_line) + " +" +
                std::to_string(new_line) + " @@\n";
      }
      text += diff[i].mark;
      text.append(diff[i].text).append("\n");
    }
    if (diff[i].mark != '+') ++old_line;
    if (diff[i].mark != '-') ++new_line;
  }
  return text;
}

}  // namespace radishwing::ctl
