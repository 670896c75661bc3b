#include "src/base/json_fields.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <utility>

namespace radishwing {

result<json_fields> json_fields::Parse(std::string_view name,
                                       std::string_view text) {
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text, error);
  if (error || !value.is_object()) {
    return failure{failure_kind::kInvalid,
                   std::string(name) + " is not a JSON object"};
  }
  return json_fields(name, std::move(value.as_object()));
}

json_fields::json_fields(std::string_view name, boost::json::object object)
    : name_(name), object_(std::move(object)) {}

const boost::json::value* json_fields::FindOrReject(std::string_view key) {
  const boost::json::value* value = object_.if_contains(key);
  if (value == nullptr) Reject(key);
  return value;
}

void json_fields::Reject(std::string_view key) {
  if (first_rejected_key_.empty()) first_rejected_key_ = key;
}

failure json_fields::Failure() const {
  return {failure_kind::kInvalid, name_ + " has a missing or wrong field \"" +
                                      first_rejected_key_ + "\""};
}

std::string json_fields::String(std::string_view key) {
  const boost::json::value* value = FindOrReject(key);
  if (value != nullptr && value->is_string()) {
    return std::string(value->as_string());
  }
  Reject(key);
  return {};
}

std::uint64_t json_fields::Unsigned(std::string_view key) {
  const std::int64_t number = Signed(key);
  if (number < 0) Reject(key);
  return number < 0 ? 0 : static_cast<std::uint64_t>(number);
}

std::int64_t json_fields::Signed(std::string_view key) {
  const boost::json::value* value = FindOrReject(key);
  if (value != nullptr && value->is_int64()) return value->as_int64();
  Reject(key);
  return 0;
}

bool json_fields::Bool(std::string_view key) {
  const boost::json::value* value = FindOrReject(key);
  if (value != nullptr && value->is_bool()) return value->as_bool();
  Reject(key);
  return false;
}

boost::json::object json_fields::Object(std::string_view key) {
  const boost::json::value* value = FindOrReject(key);
  if (value != nullptr && value->is_object()) return value->as_object();
  Reject(key);
  return {};
}

boost::json::array json_fields::Array(std::string_view key) {
  const boost::json::value* value = FindOrReject(key);
  if (value != nullptr && value->is_array()) return value->as_array();
  Reject(key);
  return {};
}

}  // namespace radishwing
