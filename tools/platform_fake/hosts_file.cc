#include "tools/platform_fake/hosts_file.h"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <exception>

namespace radishwing::platform_fake {
namespace {

namespace json = boost::json;

fake_host ParseHost(const json::object& object) {
  fake_host host;
  host.host = json::value_to<std::string>(object.at("host"));
  host.data_centre = json::value_to<std::string>(object.at("data_centre"));
  host.rack = json::value_to<std::string>(object.at("rack"));
  const auto number = [&](const char* name, std::uint32_t& out) {
    if (const auto* v = object.if_contains(name)) {
      out = json::value_to<std::uint32_t>(*v);
    }
  };
  number("cores", host.cores);
  number("memory_mb", host.memory_mb);
  number("accelerators", host.accelerators);
  if (const auto* v = object.if_contains("fails_tasks")) {
    host.fails_tasks = v->as_bool();
  }
  return host;
}

}  // namespace

result<std::vector<fake_host>> ParseHosts(std::string_view text) {
  try {
    const json::value tree = json::parse({text.data(), text.size()});
    std::vector<fake_host> hosts;
    for (const json::value& item : tree.at("hosts").as_array()) {
      hosts.push_back(ParseHost(item.as_object()));
    }
    return hosts;
  } catch (const std::exception& error) {
    return failure{failure_kind::kInvalid,
                   std::string("the hosts file is malformed: ") + error.what()};
  }
}

}  // namespace radishwing::platform_fake
