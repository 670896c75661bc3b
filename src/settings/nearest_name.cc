#include "src/settings/nearest_name.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace radishwing::settings {
namespace {

// Maximum length of a compared name. The limit bounds the time of a comparison,
// which is proportional to the product of the lengths of the two names.
constexpr std::size_t kMaxComparedBytes = 64;

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row[b.size()];
}

// Returns the edit distance, but counts a missing or extra suffix as one edit,
// so that `deadline` is close to `deadline_ms`.
std::size_t SuggestionDistance(std::string_view name,
                               std::string_view candidate) {
  const bool prefix = name.size() >= 3 && (candidate.starts_with(name) ||
                                           name.starts_with(candidate));
  if (prefix && name != candidate) return 1;
  return EditDistance(name, candidate);
}

}  // namespace

std::string FindNearestName(std::string_view name,
                            std::span<const std::string> known) {
  if (name.size() > kMaxComparedBytes) return "";
  std::size_t best = std::max<std::size_t>(2, name.size() / 3) + 1;
  std::string nearest;
  for (const std::string& candidate : known) {
    if (candidate.size() > kMaxComparedBytes) continue;
    const std::size_t distance = SuggestionDistance(name, candidate);
    if (distance < best) {
      best = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace radishwing::settings
