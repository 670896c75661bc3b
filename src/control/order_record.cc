#include "src/control/order_record.h"

#include <boost/json.hpp>
#include <exception>

namespace radishwing::control {
namespace {

using maintenance::host_state;
using verb = host_order::verb;

constexpr std::string_view kVerbs[] = {"drain", "return", "move"};

order_step OfDrain(const host_facts& facts) {
  const auto& record = facts.record;
  if (record.state == host_state::kActive) return order_step::kDrain;
  const bool stops = record.state == host_state::kDraining ||
                     record.state == host_state::kEmpty;
  return stops && record.reason == kOperatorReason ? order_step::kDone
                                                   : order_step::kWait;
}

order_step OfMove(const host_facts& facts, const std::string& pool) {
  const auto& record = facts.record;
  if (record.state == host_state::kActive) {
    return record.pool == pool ? order_step::kDone : order_step::kDrain;
  }
  if (record.next_pool == pool && record.state != host_state::kFailed) {
    return order_step::kDone;
  }
  const bool stopped =
      record.state == host_state::kEmpty && record.reason == kOperatorReason;
  return stopped ? order_step::kRetarget : order_step::kWait;
}

order_step OfReturn(const host_facts& facts) {
  const bool taken = facts.platform == platform_state::kDraining;
  switch (facts.record.state) {
    case host_state::kActive:
      return facts.unavailable.empty() ? order_step::kDone : order_step::kWait;
    case host_state::kDraining:
      return order_step::kCancel;
    case host_state::kEmpty:
      return taken ? order_step::kUndrain : order_step::kCancel;
    case host_state::kFailed:
      return taken ? order_step::kUndrain : order_step::kWait;
    case host_state::kMaintenance:
      break;
  }
  return order_step::kWait;
}

}  // namespace

std::string OrderKey(std::string_view data_centre, std::string_view host) {
  return "order/" + std::string(data_centre) + '/' + std::string(host);
}

std::string FormatOrderRecord(const order_record& record) {
  const host_order& order = record.order;
  return boost::json::serialize(boost::json::object{
      {"host", order.host},
      {"action", kVerbs[static_cast<std::size_t>(order.action)]},
      {"pool", order.pool},
      {"waiting", record.waiting},
      {"change_id", order.change_id}});
}

result<order_record> ParseOrderRecord(std::string_view text) {
  try {
    const boost::json::value parsed = boost::json::parse(text);
    const auto string_at = [&](const char* name) {
      return boost::json::value_to<std::string>(parsed.at(name));
    };
    order_record record;
    record.order.host = string_at("host");
    record.order.pool = string_at("pool");
    record.order.change_id = string_at("change_id");
    record.waiting = parsed.at("waiting").as_bool();
    const std::string action = string_at("action");
    for (std::size_t i = 0; i < std::size(kVerbs); ++i) {
      if (action != kVerbs[i]) continue;
      record.order.action = static_cast<verb>(i);
      return record;
    }
    return failure{failure_kind::kInvalid, "unknown order \"" + action + '"'};
  } catch (const std::exception& error) {
    return failure{failure_kind::kInvalid,
                   std::string("not an order: ") + error.what()};
  }
}

order_step NextOrderStep(const host_facts& facts, const host_order& order) {
  switch (order.action) {
    case verb::kDrain:
      return OfDrain(facts);
    case verb::kMove:
      return OfMove(facts, order.pool);
    case verb::kReturn:
      break;
  }
  return OfReturn(facts);
}

}  // namespace radishwing::control
