#include "src/fleet/task_name.h"

#include <charconv>

namespace radishwing::fleet {
namespace {

// Removes a leading ".NUMBER" from `text` and sets `number`. Returns false if
// `text` starts differently.
bool ConsumeNumber(std::string_view& text, int& number) {
  if (text.empty() || text.front() != '.') return false;
  text.remove_prefix(1);
  const char* end = text.data() + text.size();
  const auto [next, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || number < 0) return false;
  text.remove_prefix(static_cast<std::size_t>(next - text.data()));
  return true;
}

}  // namespace

std::string FormatTaskName(const task_name& name) {
  return name.job + '.' + std::to_string(name.repetition) + '.' +
         std::to_string(name.step) + '.' + std::to_string(name.index);
}

std::optional<task_name> ParseTaskName(std::string_view text) {
  const std::size_t dot = text.find('.');
  if (dot == 0 || dot == std::string_view::npos) return std::nullopt;
  task_name name;
  name.job = std::string(text.substr(0, dot));
  text.remove_prefix(dot);
  if (!ConsumeNumber(text, name.repetition) ||
      !ConsumeNumber(text, name.step) || !ConsumeNumber(text, name.index) ||
      !text.empty()) {
    return std::nullopt;
  }
  return name;
}

}  // namespace radishwing::fleet
