#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "tools/platform_fake/platform_fake_impl.h"

namespace radishwing::platform_fake {
namespace {

namespace json = boost::json;
using boost::beast::http::verb;

constexpr std::size_t kMaxValueBytes = 1u << 20;
constexpr millis kMaxWatchMs = 30000;

std::optional<std::uint64_t> Number(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

json::object ItemJson(const stored_item& item) {
  return {{"key", item.key}, {"value", item.value}, {"version", item.version}};
}

http::server_response WriteResponse(const write_outcome& outcome) {
  switch (outcome.what) {
    case write_outcome::kind::kDone:
      return http::JsonResponse(200, {{"version", outcome.version}});
    case write_outcome::kind::kNoLease:
      return http::ErrorResponse(404, "no_lease", "the lease does not exist");
    case write_outcome::kind::kConflict:
      break;
  }
  return http::JsonResponse(409, {{"value", outcome.current.value},
                                  {"version", outcome.current.version}});
}

http::server_response Malformed(std::string_view what) {
  return http::ErrorResponse(400, "malformed", what);
}

}  // namespace

http::server_response platform_fake::impl::RouteStore(
    const http::server_request& request, std::string_view kind) {
  if (kind == "kv_prefix") {
    json::array items;
    for (const auto& item : store.ReadPrefix(request.target.Param("prefix"))) {
      items.push_back(ItemJson(item));
    }
    return http::JsonResponse(
        200, {{"revision", store.Revision()}, {"items", std::move(items)}});
  }
  const std::string key = request.target.path.substr(7);  // "/v1/kv/"
  if (kind == "kv_read") {
    const auto item = store.Read(key);
    if (!item) return http::ErrorResponse(404, "no_key", "no such key");
    return http::JsonResponse(200, ItemJson(*item));
  }
  const auto expect = Number(request.target.Param("expect"));
  if (!expect) return Malformed("expect is missing");
  if (kind == "kv_delete") return WriteResponse(store.Delete(key, *expect));
  if (request.body.size() > kMaxValueBytes) {
    return http::ErrorResponse(413, "value_too_large",
                               "values are at most 1 MB");
  }
  return WriteResponse(
      store.Put(key, *expect, request.body, request.target.Param("lease")));
}

http::server_response platform_fake::impl::RouteLease(
    const http::server_request& request) {
  const std::string& path = request.target.path;
  if (path == "/v1/leases") {
    const millis ttl =
        json::value_to<millis>(json::parse(request.body).at("ttl_ms"));
    if (ttl <= 0) return Malformed("ttl_ms must be above 0");
    return http::JsonResponse(200, {{"lease", store.Grant(ttl, Now())}});
  }
  std::string id = path.substr(std::string_view("/v1/leases/").size());
  bool found = false;
  if (request.method == verb::delete_) {
    found = store.Revoke(id);
  } else if (id.ends_with("/renew")) {
    id.resize(id.size() - 6);
    found = store.Renew(id, Now());
  }
  if (!found) return http::ErrorResponse(404, "no_lease", "no such lease");
  return http::JsonResponse(200, {{"lease", id}});
}

void platform_fake::impl::Watch(const http::server_request& request,
                                const responder& respond) {
  const auto after = Number(request.target.Param("after"));
  const auto wait_ms = Number(request.target.Param("wait_ms"));
  if (!after || !wait_ms) {
    respond(Malformed("after or wait_ms is missing"));
    return;
  }
  const millis wait = std::min<millis>(kMaxWatchMs, *wait_ms);
  watchers.push_back({std::string(request.target.Param("prefix")), *after,
                      Now() + wait, respond});
}

void platform_fake::impl::AnswerWatchers() {
  const millis now = Now();
  for (auto it = watchers.begin(); it != watchers.end();) {
    const auto changes = store.Changes(it->prefix, it->after);
    if (changes && changes->empty() && now < it->ends_at) {
      ++it;
      continue;
    }
    const responder respond = std::move(it->respond);
    it = watchers.erase(it);
    if (!changes) {
      respond(http::ErrorResponse(410, "compacted", "read the prefix again"));
      continue;
    }
    json::array items;
    for (const stored_item& item : *changes) {
      json::object object = ItemJson(item);
      object["deleted"] = item.deleted;
      items.push_back(std::move(object));
    }
    respond(http::JsonResponse(
        200, {{"revision", store.Revision()}, {"items", std::move(items)}}));
  }
}

}  // namespace radishwing::platform_fake
