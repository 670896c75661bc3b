#include "review/world-3/store.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdlib>
#include <stdexcept>

#include "platform/base64.h"

namespace review {
namespace json = boost::json;
namespace http = radishwing::http;
using boost::beast::http::verb;

namespace {

std::uint64_t Number(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value ? value->to_number<std::uint64_t>() : 0;
}

http::server_response Plain(unsigned status) {
  return http::MakeJsonResponse(status, json::object{});
}

http::server_response NoAnswer() {
  http::server_response response;
  response.action = http::response_action::kNeverRespond;
  return response;
}

http::server_response Closed() {
  http::server_response response;
  response.action = http::response_action::kCloseConnection;
  return response;
}

}  // namespace

store::store(boost::asio::io_context& io,
             const std::vector<std::string>& addresses)
    : io_(io), doors_(addresses.size()) {
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    http::server_options options;
    options.address = addresses[i];
    auto made = http::server::Make(
        io, options,
        [this, i](const http::server_request& request, auto respond) {
          Serve(static_cast<int>(i), request, std::move(respond));
        });
    if (!Ok(made)) throw std::runtime_error(Error(made).message);
    doors_[i].server = std::move(radishwing::Value(std::move(made)));
  }
  ScheduleTick();
}

void store::SetModeForAll(store_mode mode) {
  for (door& entry : doors_) entry.mode = mode;
  const bool down = mode != store_mode::kUp;
  const millis now = clock_.Now();
  if (down && !down_) {
    down_since_ = now;
    // Pending watches are cut with the store.
    for (waiting_watch& watch : std::exchange(watches_, {})) {
      watch.respond(mode == store_mode::kSilent ? NoAnswer() : Closed());
    }
  } else if (!down && down_) {
    for (auto& [id, entry] : leases_) entry.expires_at += now - down_since_;
  }
  down_ = down;
}

void store::ScheduleTick() {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      io_, std::chrono::milliseconds(10));
  timer->async_wait([this, timer](boost::system::error_code error) {
    if (error) return;
    ExpireLeases();
    const millis now = clock_.Now();
    std::vector<waiting_watch> due;
    std::erase_if(watches_, [&](waiting_watch& watch) {
      if (now < watch.until) return false;
      due.push_back(std::move(watch));
      return true;
    });
    for (waiting_watch& watch : due) {
      watch.respond(http::MakeJsonResponse(
          200,
          json::object{{"events", json::array{}}, {"current-rev", revision_}}));
    }
    ScheduleTick();
  });
}

void store::ExpireLeases() {
  if (down_) return;
  const millis now = clock_.Now();
  std::vector<std::uint64_t> ended;
  for (const auto& [id, entry] : leases_) {
    if (now >= entry.expires_at) ended.push_back(id);
  }
  for (const std::uint64_t id : ended) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, value] : items_) {
      if (value.lease == id) keys.push_back(key);
    }
    for (const std::string& key : keys) Delete(key);
  }
}

json::object store::Encode(const std::string& key, const item& value) const {
  return {{"key", key},
          {"value", radishwing::platform::EncodeBase64(value.value)},
          {"revision", value.revision},
          {"created", value.created},
          {"lease", value.lease}};
}

void store::Write(const std::string& key, std::string value,
                  std::uint64_t lease) {
  item& entry = items_[key];
  entry.value = std::move(value);
  entry.revision = revision_;
  if (entry.created == 0) entry.created = revision_;
  entry.lease = lease;
  history_.push_back({key, revision_, false, entry});
}

void store::Delete(const std::string& key) {
  if (items_.erase(key) == 0) return;
  ++revision_;
  history_.push_back({key, revision_, true, {}});
  WakeWatches();
}

std::uint64_t store::Put(const std::string& key, const std::string& value) {
  ++revision_;
  Write(key, value, 0);
  WakeWatches();
  return revision_;
}

void store::Remove(const std::string& key) { Delete(key); }

std::string store::Value(const std::string& key) const {
  const auto it = items_.find(key);
  return it == items_.end() ? std::string() : it->second.value;
}

std::uint64_t store::Revision(const std::string& key) const {
  const auto it = items_.find(key);
  return it == items_.end() ? 0 : it->second.revision;
}

void store::Serve(int node, const http::server_request& request,
                  responder respond) {
  door& entry = doors_.at(static_cast<std::size_t>(node));
  switch (entry.mode) {
    case store_mode::kUp:
      break;
    case store_mode::kBusy:
      return respond(Plain(503));
    case store_mode::kReset:
      return respond(Closed());
    case store_mode::kSilent:
      return respond(NoAnswer());
  }
  ExpireLeases();
  const std::string& path = request.target.path;
  const auto parameter = [&](std::string_view name) {
    return std::string(request.target.QueryParameter(name));
  };
  if (path == "/kv-key") {
    const auto it = items_.find(parameter("key"));
    if (it == items_.end()) {
      return respond(http::MakeJsonResponse(
          404, json::object{{"current-rev", revision_}}));
    }
    json::object found = Encode(it->first, it->second);
    found["current-rev"] = revision_;
    return respond(http::MakeJsonResponse(200, found));
  }
  if (path == "/kv-range") {
    const std::string prefix = parameter("prefix");
    const std::string after = parameter("after");
    json::array items;
    bool more = false;
    for (auto it = items_.lower_bound(prefix);
         it != items_.end() && it->first.starts_with(prefix); ++it) {
      if (!after.empty() && it->first <= after) continue;
      if (items.size() >= 500) {
        more = true;
        break;
      }
      items.push_back(Encode(it->first, it->second));
    }
    return respond(
        http::MakeJsonResponse(200, json::object{{"items", std::move(items)},
                                                 {"has-more", more},
                                                 {"current-rev", revision_}}));
  }
  if (path == "/kv-watch") {
    return ServeWatch(request, std::move(respond),
                      clock_.Now() + std::atoll(parameter("wait-ms").c_str()));
  }
  if (path == "/kv-txn") {
    return respond(Commit(json::parse(request.body).as_object()));
  }
  if (path == "/kv-lease") {
    const auto ttl = static_cast<millis>(
        Number(json::parse(request.body).as_object(), "ttl-ms"));
    const std::uint64_t id = next_lease_++;
    leases_[id] = {ttl, clock_.Now() + ttl};
    return respond(http::MakeJsonResponse(
        200, json::object{{"lease", id}, {"ttl-ms", ttl}}));
  }
  if (path.starts_with("/kv-keep/")) {
    const auto id = std::strtoull(path.c_str() + 9, nullptr, 10);
    const auto it = leases_.find(id);
    if (it == leases_.end()) return respond(Plain(404));
    it->second.expires_at = clock_.Now() + it->second.ttl_ms;
    return respond(http::MakeJsonResponse(
        200, json::object{{"ttl-ms", it->second.ttl_ms}}));
  }
  if (path.starts_with("/kv-lease-end/")) {
    const auto id = std::strtoull(path.c_str() + 14, nullptr, 10);
    if (const auto it = leases_.find(id); it != leases_.end()) {
      it->second.expires_at = 0;
      ExpireLeases();
    }
    return respond(Plain(200));
  }
  respond(Plain(400));
}

void store::ServeWatch(const http::server_request& request, responder respond,
                       millis until) {
  const std::string prefix(request.target.QueryParameter("prefix"));
  const std::uint64_t after = std::strtoull(
      std::string(request.target.QueryParameter("after")).c_str(), nullptr, 10);
  watches_.push_back({prefix, after, until, std::move(respond)});
  WakeWatches();
}

void store::WakeWatches() {
  std::vector<std::pair<waiting_watch, json::array>> ready;
  std::erase_if(watches_, [&](waiting_watch& watch) {
    json::array events;
    const auto first =
        std::ranges::upper_bound(history_, watch.after, {}, &change::revision);
    for (auto it = first; it != history_.end(); ++it) {
      const change& entry = *it;
      if (!entry.key.starts_with(watch.prefix)) continue;
      if (entry.removed) {
        events.push_back(json::object{{"key", entry.key},
                                      {"revision", entry.revision},
                                      {"removed", true}});
      } else {
        events.push_back(Encode(entry.key, entry.value));
      }
    }
    if (events.empty()) return false;
    ready.emplace_back(std::move(watch), std::move(events));
    return true;
  });
  for (auto& [watch, events] : ready) {
    watch.respond(
        http::MakeJsonResponse(200, json::object{{"events", std::move(events)},
                                                 {"current-rev", revision_}}));
  }
}

http::server_response store::Commit(const json::object& body) {
  bool met = true;
  json::array current;
  for (const json::value& entry : body.at("expected-rev").as_array()) {
    const json::object& row = entry.as_object();
    const std::string key(row.at("key").as_string());
    const auto it = items_.find(key);
    const std::uint64_t revision = it == items_.end() ? 0 : it->second.revision;
    if (revision != Number(row, "revision")) met = false;
    if (it != items_.end()) current.push_back(Encode(key, it->second));
  }
  if (!met) {
    return http::MakeJsonResponse(412, json::object{{"items", current}});
  }
  for (const json::value& entry : body.at("writes").as_array()) {
    const std::uint64_t lease = Number(entry.as_object(), "lease");
    if (lease != 0 && !leases_.contains(lease)) return Plain(404);
  }
  ++revision_;
  for (const json::value& entry : body.at("writes").as_array()) {
    const json::object& row = entry.as_object();
    Write(std::string(row.at("key").as_string()),
          radishwing::platform::DecodeBase64(row.at("value").as_string()),
          Number(row, "lease"));
  }
  for (const json::value& key : body.at("remove").as_array()) {
    const std::string name(key.as_string());
    if (items_.erase(name) > 0) history_.push_back({name, revision_, true, {}});
  }
  WakeWatches();
  return http::MakeJsonResponse(200, json::object{{"revision", revision_}});
}

}  // namespace review
