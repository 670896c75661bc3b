#include "src/node/host_order_record.h"

#include <algorithm>
#include <boost/json.hpp>

namespace radishwing::node {
namespace json = boost::json;

// The record is a JSON array of rows [host, runner, new pool, wave].
std::string EncodeHostOrders(const host_orders& orders) {
  json::array rows;
  for (const auto& [host, order] : orders) {
    rows.push_back(json::array{host, order.runner, order.new_pool, order.wave});
  }
  return json::serialize(rows);
}

host_orders DecodeHostOrders(std::string_view text) {
  host_orders orders;
  boost::system::error_code error;
  const json::value parsed = json::parse(text, error);
  if (error || !parsed.is_array()) return orders;
  for (const json::value& entry : parsed.get_array()) {
    if (!entry.is_array() || entry.get_array().size() != 4) continue;
    const json::array& row = entry.get_array();
    if (!std::all_of(
            row.begin(), row.begin() + 3,
            [](const json::value& text) { return text.is_string(); }) ||
        !row[3].is_int64()) {
      continue;
    }
    host_order order;
    order.runner = row[1].get_string().c_str();
    order.new_pool = row[2].get_string().c_str();
    order.wave = row[3].get_int64();
    orders[row[0].get_string().c_str()] = std::move(order);
  }
  return orders;
}

}  // namespace radishwing::node
