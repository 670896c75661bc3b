#include "src/sched/relay_choice.h"

#include <algorithm>

namespace radishwing::sched {

std::vector<std::string> relay_choice::Choose(
    std::span<const std::string> peers, std::size_t limit) {
  std::vector<std::string> others(peers.begin(), peers.end());
  std::vector<std::string> chosen;
  if (std::erase(others, last_relay_) > 0) chosen.push_back(last_relay_);
  for (std::size_t i = 0; i < others.size() && chosen.size() < limit; ++i) {
    chosen.push_back(others[next_++ % others.size()]);
  }
  return chosen;
}

}  // namespace radishwing::sched
