#include "src/platform/http_kv_store.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <utility>

#include "src/http/target.h"
#include "src/platform/json_access.h"
#include "src/platform/swap_steps.h"

namespace radishwing::platform {
namespace {

namespace json = boost::json;
using boost::beast::http::verb;

kv_item ParseItem(const json::value& body) {
  kv_item item;
  item.key = json::value_to<std::string>(body.at("key"));
  item.value = json::value_to<std::string>(body.at("value"));
  item.version = json::value_to<std::uint64_t>(body.at("version"));
  const json::value* deleted = body.as_object().if_contains("deleted");
  item.deleted = deleted && deleted->as_bool();
  return item;
}

kv_page ParsePage(const json::value& body) {
  kv_page page;
  page.revision = json::value_to<std::uint64_t>(body.at("revision"));
  for (const json::value& item : body.at("items").as_array()) {
    page.items.push_back(ParseItem(item));
  }
  return page;
}

std::string LeaseTarget(std::string_view lease) {
  return "/v1/leases/" + http::EscapePath(lease);
}

done ParseDone(const json::value&) { return {}; }

}  // namespace

http_kv_store::http_kv_store(std::shared_ptr<platform_link> link)
    : link_(std::move(link)) {}

void http_kv_store::Read(std::string_view key, completion<kv_item> completion) {
  link_->Get("/v1/kv/" + http::EscapePath(key),
             Reading<kv_item>(ParseItem, std::move(completion)));
}

void http_kv_store::ReadPrefix(std::string_view prefix,
                               completion<kv_page> completion) {
  link_->Get("/v1/kv?prefix=" + http::EscapeQuery(prefix),
             Reading<kv_page>(ParsePage, std::move(completion)));
}

void http_kv_store::Watch(std::string_view prefix, std::uint64_t after,
                          millis wait_ms, completion<kv_page> completion) {
  link_->LongPoll("/v1/watch?prefix=" + http::EscapeQuery(prefix) +
                      "&after=" + std::to_string(after) +
                      "&wait_ms=" + std::to_string(wait_ms),
                  wait_ms, Reading<kv_page>(ParsePage, std::move(completion)));
}

void http_kv_store::Swap(kv_swap swap,
                         std::function<void(swap_outcome)> completion) {
  resolved_write<swap_outcome>::Run(link_, StepsOfSwap(std::move(swap)),
                                    std::move(completion));
}

void http_kv_store::Delete(std::string_view key, std::uint64_t expect,
                           std::function<void(swap_outcome)> completion) {
  resolved_write<swap_outcome>::Run(
      link_, StepsOfDelete(std::string(key), expect), std::move(completion));
}

void http_kv_store::GrantLease(millis ttl_ms,
                               completion<std::string> completion) {
  link_->Send(verb::post, "/v1/leases",
              json::serialize(json::value{{"ttl_ms", ttl_ms}}),
              Reading<std::string>(
                  [](const json::value& body) {
                    return json::value_to<std::string>(body.at("lease"));
                  },
                  std::move(completion)));
}

void http_kv_store::RenewLease(std::string_view lease,
                               completion<done> completion) {
  link_->Send(verb::post, LeaseTarget(lease) + "/renew", "",
              Reading<done>(ParseDone, std::move(completion)));
}

void http_kv_store::RevokeLease(std::string_view lease,
                                completion<done> completion) {
  link_->Send(
      verb::delete_, LeaseTarget(lease), "",
      [completion = std::move(completion)](result<platform_answer> answer) {
        auto outcome = ReadAnswer<done>(answer, ParseDone);
        const bool gone =
            !Ok(outcome) && Error(outcome).kind == failure_kind::kNotFound;
        completion(gone ? result<done>(done{}) : std::move(outcome));
      });
}

}  // namespace radishwing::platform
