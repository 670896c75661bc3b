#include "review/store.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdlib>
#include <stdexcept>

#include "platform/base64.h"

namespace review {
namespace json = boost::json;
using namespace radishwing;
namespace {

constexpr std::size_t kMaxRangeItems = 500;
constexpr std::chrono::milliseconds kWatchCheckInterval{4};

std::uint64_t NumberAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value ? value->to_number<std::uint64_t>() : 0;
}

std::uint64_t ParseNumber(std::string_view text) {
  return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

const json::array& ArrayAt(const json::object& object, std::string_view key) {
  static const json::array kEmpty;
  const json::value* value = object.if_contains(key);
  return value && value->is_array() ? value->get_array() : kEmpty;
}

/// Calls `try_respond` now and then every few ms until it returns true.
void Repeat(boost::asio::io_context& io, std::function<bool()> try_respond) {
  if (try_respond()) return;
  auto timer =
      std::make_shared<boost::asio::steady_timer>(io, kWatchCheckInterval);
  timer->async_wait([&io, timer, try_respond = std::move(try_respond)](
                        boost::system::error_code error) {
    if (!error) Repeat(io, try_respond);
  });
}

}  // namespace

store::store(boost::asio::io_context& io, recorder& record)
    : io_(io), record_(record) {
  auto made = http::server::Make(
      io, {}, [this](const http::server_request& request, auto respond) {
        Serve(request, std::move(respond));
      });
  if (!Ok(made)) throw std::runtime_error(Error(made).message);
  server_ = std::move(Value(std::move(made)));
}

json::object store::Encode(const std::string& key, const item& value) {
  return {{"key", key},
          {"value", platform::EncodeBase64(value.value)},
          {"revision", value.revision},
          {"created", value.created},
          {"lease", value.lease}};
}

void store::Put(const std::string& key, const std::string& value) {
  ++revision_;
  Write(key, value, 0);
}

void store::Remove(const std::string& key) {
  ++revision_;
  Erase(key);
}

void store::Write(const std::string& key, const std::string& value,
                  std::uint64_t lease) {
  item& stored = items_[key];
  if (stored.created == 0) stored.created = revision_;
  stored.value = value;
  stored.revision = revision_;
  stored.lease = lease;
  history_.push_back({key, revision_, false, stored});
}

void store::Erase(const std::string& key) {
  if (items_.erase(key) > 0) history_.push_back({key, revision_, true, {}});
}

void store::SetDown(bool down) {
  if (down_ == down) return;
  down_ = down;
  record_.Write(down ? "store: down, answers 503" : "store: up again");
  if (down) {
    down_since_ = clock_.Now();
    return;
  }
  for (auto& [id, held] : leases_)
    held.expires_at += clock_.Now() - down_since_;
}

void store::ExpireLeases() {
  if (down_) return;
  const millis now = clock_.Now();
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.expires_at > now) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, value] : items_) {
      if (value.lease == it->first) keys.push_back(key);
    }
    if (!keys.empty()) ++revision_;
    for (const std::string& key : keys) Erase(key);
    it = leases_.erase(it);
  }
}

void store::Serve(const http::server_request& request,
                  http::server::responder respond) {
  if (down_) return respond(http::MakeErrorResponse(503, "busy", "down"));
  ExpireLeases();
  const std::string& path = request.target.path;
  if (path == "/kv-txn") {
    const json::object body = json::parse(request.body).as_object();
    const millis delay = lose_answer ? lose_answer(body) : -1;
    if (delay < 0) return respond(Transact(body));
    record_.Write("store: the answer to a transaction is lost; executed in " +
                  std::to_string(delay) + " ms");
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(delay));
    timer->async_wait([this, timer, body](boost::system::error_code error) {
      if (error) return;
      ExpireLeases();
      const auto done = Transact(body);
      record_.Write("store: a transaction without an answer was executed, " +
                    std::to_string(done.status));
    });
    http::server_response silence;
    silence.action = http::response_action::kNeverRespond;
    return respond(std::move(silence));
  }
  if (path == "/kv-range") return SendRange(request, respond);
  if (path == "/kv-watch") return SendEvents(request, std::move(respond));
  if (path == "/kv-key") {
    const std::string key(request.target.QueryParameter("key"));
    const auto it = items_.find(key);
    if (it == items_.end())
      return respond(http::MakeErrorResponse(404, "none", key));
    return respond(http::MakeJsonResponse(200, Encode(key, it->second)));
  }
  if (path == "/kv-lease") {
    const auto ttl = static_cast<millis>(
        NumberAt(json::parse(request.body).as_object(), "ttl-ms"));
    const std::uint64_t id = next_lease_++;
    leases_[id] = {ttl, clock_.Now() + ttl};
    return respond(http::MakeJsonResponse(
        200, json::object{{"lease", id}, {"ttl-ms", ttl}}));
  }
  const std::uint64_t id = ParseNumber(path.substr(path.rfind('/') + 1));
  const auto held = leases_.find(id);
  if (held == leases_.end())
    return respond(http::MakeErrorResponse(404, "none", path));
  const bool renew = path.starts_with("/kv-keep/");
  held->second.expires_at = renew ? clock_.Now() + held->second.ttl_ms : 0;
  ExpireLeases();
  respond(http::MakeJsonResponse(200, json::object{}));
}

http::server_response store::Transact(const json::object& body) {
  json::array current;
  bool holds = true;
  for (const json::value& entry : ArrayAt(body, "expected-rev")) {
    const json::object& row = entry.as_object();
    const std::string key(row.at("key").as_string());
    const auto it = items_.find(key);
    const item value = it == items_.end() ? item{} : it->second;
    if (value.revision != NumberAt(row, "revision")) holds = false;
    current.push_back(Encode(key, value));
  }
  if (!holds) {
    return http::MakeJsonResponse(412,
                                  json::object{{"items", std::move(current)}});
  }
  for (const json::value& entry : ArrayAt(body, "writes")) {
    const std::uint64_t lease = NumberAt(entry.as_object(), "lease");
    if (lease != 0 && !leases_.contains(lease))
      return http::MakeErrorResponse(404, "none", "no such lease");
  }
  ++revision_;
  for (const json::value& entry : ArrayAt(body, "writes")) {
    const json::object& row = entry.as_object();
    Write(std::string(row.at("key").as_string()),
          platform::DecodeBase64(std::string(row.at("value").as_string())),
          NumberAt(row, "lease"));
  }
  for (const json::value& key : ArrayAt(body, "remove"))
    Erase(std::string(key.as_string()));
  return http::MakeJsonResponse(200, json::object{{"revision", revision_}});
}

void store::SendRange(const http::server_request& request,
                      const http::server::responder& respond) {
  const std::string prefix(request.target.QueryParameter("prefix"));
  const std::string after(request.target.QueryParameter("after"));
  json::array found;
  bool has_more = false;
  for (auto it = items_.lower_bound(prefix);
       it != items_.end() && it->first.starts_with(prefix); ++it) {
    if (!after.empty() && it->first <= after) continue;
    if (found.size() == kMaxRangeItems) {
      has_more = true;
      break;
    }
    found.push_back(Encode(it->first, it->second));
  }
  respond(
      http::MakeJsonResponse(200, json::object{{"items", std::move(found)},
                                               {"has-more", has_more},
                                               {"current-rev", revision_}}));
}

void store::SendEvents(const http::server_request& request,
                       http::server::responder respond) {
  const std::string prefix(request.target.QueryParameter("prefix"));
  const std::uint64_t after =
      ParseNumber(request.target.QueryParameter("after"));
  const millis until =
      clock_.Now() + static_cast<millis>(
                         ParseNumber(request.target.QueryParameter("wait-ms")));
  Repeat(io_, [this, prefix, after, until, respond = std::move(respond)] {
    ExpireLeases();
    json::array events;
    for (auto it = history_.rbegin();
         it != history_.rend() && it->revision > after; ++it) {
      if (!it->key.starts_with(prefix)) continue;
      if (it->removed) {
        events.push_back(json::object{
            {"key", it->key}, {"revision", it->revision}, {"removed", true}});
      } else {
        events.push_back(Encode(it->key, it->value));
      }
    }
    if (events.empty() && clock_.Now() < until) return false;
    std::reverse(events.begin(), events.end());
    respond(
        http::MakeJsonResponse(200, json::object{{"events", std::move(events)},
                                                 {"current-rev", revision_}}));
    return true;
  });
}

}  // namespace review
