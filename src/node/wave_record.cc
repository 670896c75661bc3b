#include "src/node/wave_record.h"

#include <boost/json.hpp>

namespace radishwing::node {
namespace json = boost::json;
namespace {

constexpr std::string_view kStarted = "started";
constexpr std::string_view kListed = "listed";

json::array EncodeNames(const std::set<std::string>& names) {
  json::array array;
  for (const std::string& name : names) array.emplace_back(name);
  return array;
}

std::set<std::string> DecodeNames(const json::value& value) {
  std::set<std::string> names;
  if (!value.is_array()) return names;
  for (const json::value& name : value.get_array()) {
    if (name.is_string()) names.insert(name.get_string().c_str());
  }
  return names;
}

}  // namespace

std::string EncodeWaveRecord(const wave_record& record) {
  return json::serialize(
      json::object{{kStarted, EncodeNames(record.started_hosts)},
                   {kListed, EncodeNames(record.listed_hosts)}});
}

wave_record DecodeWaveRecord(std::string_view text) {
  boost::system::error_code error;
  const json::value parsed = json::parse(text, error);
  if (error) return {};
  // Earlier releases wrote only the started hosts, as an array.
  if (parsed.is_array()) return {DecodeNames(parsed), {}};
  wave_record record;
  const json::object* object = parsed.if_object();
  if (!object) return record;
  if (const json::value* started = object->if_contains(kStarted)) {
    record.started_hosts = DecodeNames(*started);
  }
  if (const json::value* listed = object->if_contains(kListed)) {
    record.listed_hosts = DecodeNames(*listed);
  }
  return record;
}

}  // namespace radishwing::node
