#include "src/platform/http_live_list_client.h"

#include <boost/json/value_to.hpp>
#include <utility>

#include "src/platform/json_access.h"

namespace radishwing::platform {
namespace {

namespace json = boost::json;

live_runner ParseRunner(const json::value& item) {
  live_runner runner;
  runner.id = json::value_to<std::string>(item.at("id"));
  runner.service = json::value_to<std::string>(item.at("service"));
  runner.host = json::value_to<std::string>(item.at("host"));
  runner.address = json::value_to<std::string>(item.at("address"));
  runner.slots = json::value_to<std::uint16_t>(item.at("slots"));
  runner.connections = json::value_to<std::uint16_t>(item.at("connections"));
  runner.leaving = item.at("state").as_string() == "leaving";
  runner.running = json::value_to<std::uint32_t>(item.at("running"));
  return runner;
}

live_list ParseList(const json::value& body) {
  live_list list;
  list.as_of_ms = json::value_to<millis>(body.at("as_of_ms"));
  for (const json::value& item : body.at("hosts").as_array()) {
    list.hosts.push_back({json::value_to<std::string>(item.at("host")),
                          item.at("state").as_string() == "leaving"});
  }
  for (const json::value& item : body.at("runners").as_array()) {
    list.runners.push_back(ParseRunner(item));
  }
  return list;
}

}  // namespace

http_live_list_client::http_live_list_client(
    std::shared_ptr<platform_link> link)
    : link_(std::move(link)) {}

void http_live_list_client::Get(
    std::function<void(result<live_list>)> completion) {
  link_->Get("/v1/live", Reading<live_list>(ParseList, std::move(completion)));
}

}  // namespace radishwing::platform
