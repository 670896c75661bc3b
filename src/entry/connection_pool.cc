#include "src/entry/connection_pool.h"

#include <algorithm>

#include "src/entry/runner_connection.h"

namespace radishwing::entry {

std::shared_ptr<runner_connection> connection_pool::Take(millis now,
                                                         bool fresh) {
  // The last one has been idle for the shortest time.
  while (!idle_.empty() &&
         (!fresh || now - idle_.back()->IdleSince() < kFreshMs)) {
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    if (!fresh || connection->IsOpen()) return connection;
    connection->Close();
  }
  return nullptr;
}

void connection_pool::Put(std::shared_ptr<runner_connection> connection) {
  idle_.push_back(std::move(connection));
}

void connection_pool::Remove(const runner_connection* connection) {
  std::erase_if(idle_, [&](const auto& c) { return c.get() == connection; });
}

void connection_pool::CloseIdle() {
  auto idle = std::move(idle_);
  idle_.clear();
  for (auto& connection : idle) connection->Close();
}

void connection_pool::CloseIdleSince(millis before) {
  while (!idle_.empty() && idle_.front()->IdleSince() < before) {
    auto connection = idle_.front();
    idle_.erase(idle_.begin());
    connection->Close();
  }
}

}  // namespace radishwing::entry
