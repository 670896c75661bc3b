#include "src/node/traffic_counters.h"

#include <cstdint>

namespace radishwing::node {

traffic_counters::traffic_counters(prometheus::Registry& registry)
    : family_(prometheus::BuildCounter()
                  .Name("radishwing_node_traffic_bytes_total")
                  .Help("HTTP bytes by other side and direction")
                  .Register(registry)) {}

http::traffic_hook traffic_counters::Hook(std::string_view other_side) {
  const std::string name(other_side);
  counters& entry = counters_[name];
  entry.sent = &family_.Add({{"other_side", name}, {"direction", "sent"}});
  entry.received =
      &family_.Add({{"other_side", name}, {"direction", "received"}});
  return [sent_counter = entry.sent, received_counter = entry.received,
          totals = totals_](std::size_t sent, std::size_t received) {
    totals->sent += sent;
    totals->received += received;
    if (sent > 0) sent_counter->Increment(static_cast<double>(sent));
    if (received > 0) {
      received_counter->Increment(static_cast<double>(received));
    }
  };
}

std::string traffic_counters::TakeSummary() {
  std::string summary;
  const auto append = [&summary](const std::string& name, double bytes) {
    if (!summary.empty()) summary += ' ';
    summary += name + "=" + std::to_string(static_cast<std::uint64_t>(bytes));
  };
  for (auto& [name, entry] : counters_) {
    const double sent = entry.sent->Value();
    const double received = entry.received->Value();
    if (sent > entry.reported_sent || received > entry.reported_received) {
      append(name + "_sent", sent - entry.reported_sent);
      append(name + "_received", received - entry.reported_received);
    }
    entry.reported_sent = sent;
    entry.reported_received = received;
  }
  return summary;
}

}  // namespace radishwing::node
