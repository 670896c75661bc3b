#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace radishwing::node {

/// An order to a host that may still be carried out: it is about to be sent, or
/// no response to it has arrived.
struct host_order {
  /// Id of the runner that the order ends; empty if the host has none.
  std::string runner;
  std::string new_pool;   ///< Pool to move the host to; empty for maintenance.
  std::int64_t wave = 0;  ///< Number of the maintenance wave; 0 for a move.

  bool IsMove() const { return !new_pool.empty(); }
  friend bool operator==(const host_order&, const host_order&) = default;
};

/// Orders by name of the host.
using host_orders = std::map<std::string, host_order>;

/// Returns the text of the record that names the `orders` to the next leader.
std::string EncodeHostOrders(const host_orders& orders);

/// Returns the orders in the text of a record. Malformed rows are ignored.
host_orders DecodeHostOrders(std::string_view text);

}  // namespace radishwing::node
