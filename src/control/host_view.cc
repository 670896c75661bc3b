#include "src/control/host_view.h"

#include <boost/json.hpp>

namespace radishwing::control {

result<host_view> DecodeHostView(std::string_view key, std::string_view value) {
  constexpr std::string_view kPrefix = "host/";
  std::size_t slash = key.rfind('/');
  if (!key.starts_with(kPrefix) || slash < kPrefix.size()) {
    return failure{failure_kind::kInternal, "the key is not of a host record"};
  }
  host_view view;
  view.host = key.substr(slash + 1);
  view.data_centre = key.substr(kPrefix.size(), slash - kPrefix.size());
  boost::system::error_code error;
  boost::json::value parsed = boost::json::parse(value, error);
  const boost::json::object* record = parsed.if_object();
  if (error || record == nullptr) {
    return failure{failure_kind::kInternal, "the record is not a JSON object"};
  }
  if (const auto* pool = record->if_contains("pool")) {
    if (pool->is_string()) view.pool = std::string(pool->get_string());
  }
  if (const auto* state = record->if_contains("state")) {
    if (state->is_string()) view.state = std::string(state->get_string());
  }
  if (const auto* epoch = record->if_contains("epoch")) {
    view.epoch = epoch->to_number<std::uint64_t>(error);
  }
  if (error || view.state.empty()) {
    return failure{failure_kind::kInternal, "the record lacks state or epoch"};
  }
  auto whole = maintenance::ParseHostRecord(value);
  if (Ok(whole)) view.record = std::move(Value(whole));
  return view;
}

}  // namespace radishwing::control
