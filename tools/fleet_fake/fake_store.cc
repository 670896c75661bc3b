#include "tools/fleet_fake/fake_store.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <utility>

#include "tools/fleet_fake/poll_until.h"

namespace radishwing::fleet_fake {
namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;
namespace {

constexpr std::size_t kMaxRangeItems = 50;

std::string EncodeBase64(const std::string& bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes(base64::decoded_size(text.size()), '\0');
  bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
  return bytes;
}

std::uint64_t NumberField(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value ? value->to_number<std::uint64_t>() : 0;
}

std::uint64_t ParseNumber(std::string_view text) {
  return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

}  // namespace

fake_store::fake_store(boost::asio::io_context& io) : io_(io) {
  const auto listen = [&](bool second) {
    auto made = http::server::Make(
        io, {},
        [this, second](const http::server_request& request, auto respond) {
          if (second && second_unavailable_) {
            return respond(http::MakeErrorResponse(503, "busy", "refused"));
          }
          ServeRequest(request, std::move(respond));
        });
    if (!Ok(made)) throw std::runtime_error(Error(made).message);
    return std::move(radishwing::Value(std::move(made)));
  };
  server_ = listen(false);
  second_server_ = listen(true);
}

json::object fake_store::EncodeItem(const std::string& key, const item& value) {
  return {{"key", key},
          {"value", EncodeBase64(value.value)},
          {"revision", value.revision},
          {"created", value.created_revision},
          {"lease", value.lease_id}};
}

std::uint64_t fake_store::Put(const std::string& key,
                              const std::string& value) {
  ++revision_;
  WriteItem(key, value, 0);
  return revision_;
}

void fake_store::Remove(const std::string& key) {
  ++revision_;
  DeleteKey(key);
}

std::string fake_store::Value(const std::string& key) const {
  const auto it = items_.find(key);
  return it == items_.end() ? std::string() : it->second.value;
}

void fake_store::WriteItem(const std::string& key, const std::string& value,
                           std::uint64_t lease_id) {
  item& stored = items_[key];
  if (stored.created_revision == 0) stored.created_revision = revision_;
  stored.value = value;
  stored.revision = revision_;
  stored.lease_id = lease_id;
  history_.push_back({key, revision_, false, stored});
}

void fake_store::DeleteKey(const std::string& key) {
  if (items_.erase(key) > 0) history_.push_back({key, revision_, true, {}});
}

void fake_store::ExpireDueLeases() {
  const millis now = clock_.Now();
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.expires_at > now) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, entry] : items_) {
      if (entry.lease_id == it->first) keys.push_back(key);
    }
    ++revision_;
    for (const std::string& key : keys) DeleteKey(key);
    it = leases_.erase(it);
  }
}

void fake_store::ExpireAllLeases() {
  for (auto& [id, held] : leases_) held.expires_at = 0;
  ExpireDueLeases();
}

void fake_store::ServeRequest(const http::server_request& request,
                              http::server::responder respond) {
  ExpireDueLeases();
  const std::string& path = request.target.path;
  if (unavailable_) {
    if (path == "/kv-txn") ++refused_commit_count_;
    return respond(http::MakeErrorResponse(503, "busy", "refused"));
  }
  if (path == "/kv-txn") return ServeCommit(request, respond);
  if (path == "/kv-range") {
    if (!refused_prefix_.empty() &&
        request.target.QueryParameter("prefix") == refused_prefix_) {
      ++refused_read_count_;
      return respond(http::MakeErrorResponse(503, "busy", "refused"));
    }
    return SendRange(request, respond);
  }
  if (path == "/kv-watch") return SendChanges(request, std::move(respond));
  if (path == "/kv-key") {
    const std::string key(request.target.QueryParameter("key"));
    const auto it = items_.find(key);
    if (it == items_.end()) {
      return respond(http::MakeErrorResponse(404, "none", key));
    }
    return respond(http::MakeJsonResponse(200, EncodeItem(key, it->second)));
  }
  if (path == "/kv-lease") {
    const millis ttl = static_cast<millis>(
        NumberField(json::parse(request.body).as_object(), "ttl-ms"));
    const std::uint64_t id = next_lease_id_++;
    leases_[id] = {ttl, clock_.Now() + ttl};
    return respond(http::MakeJsonResponse(
        200, json::object{{"lease", id}, {"ttl-ms", ttl}}));
  }
  const std::uint64_t id = ParseNumber(path.substr(path.rfind('/') + 1));
  const auto held = leases_.find(id);
  if (held == leases_.end()) {
    return respond(http::MakeErrorResponse(404, "none", path));
  }
  const bool renew = path.starts_with("/kv-keep/");
  held->second.expires_at = renew ? clock_.Now() + held->second.ttl_ms : 0;
  ExpireDueLeases();
  http::server_response response = http::MakeJsonResponse(200, json::object{});
  if (renew) ++renewal_count_;
  if (renew && renewal_responses_to_hold_ > 0) {
    --renewal_responses_to_hold_;
    response.action = http::response_action::kNeverRespond;
  }
  respond(std::move(response));
}

void fake_store::ServeCommit(const http::server_request& request,
                             const http::server::responder& respond) {
  const json::object commit = json::parse(request.body).as_object();
  http::server_response response;
  if (!refused_key_.empty() && Changes(commit, refused_key_)) {
    return respond(http::MakeErrorResponse(400, "invalid", "refused"));
  }
  const bool is_held = !delayed_key_.empty() && Changes(commit, delayed_key_);
  if (is_held || commits_to_delay_ > 0) {
    if (is_held) {
      delayed_commits_.push_back(commit);
    } else {
      ApplyCommitLater(commit);
    }
    response.action = http::response_action::kNeverRespond;
    return respond(std::move(response));
  }
  if (before_awaited_commit_ && Changes(commit, awaited_key_)) {
    std::exchange(before_awaited_commit_, nullptr)();
  }
  response = ApplyCommit(commit);
  if (response.status == 200 && commit_responses_to_drop_ > 0) {
    --commit_responses_to_drop_;
    response.action = http::response_action::kCloseConnection;
  }
  respond(std::move(response));
}

void fake_store::ApplyCommitLater(const json::object& commit) {
  --commits_to_delay_;
  ++timed_commit_count_;
  auto timer = std::make_shared<boost::asio::steady_timer>(
      io_, std::chrono::milliseconds(commit_delay_ms_));
  timer->async_wait([this, timer, commit](boost::system::error_code error) {
    if (error) return;
    --timed_commit_count_;
    ExpireDueLeases();
    ApplyCommit(commit);
  });
}

void fake_store::ApplyDelayedCommits() {
  for (const json::object& commit : std::exchange(delayed_commits_, {})) {
    ApplyCommit(commit);
  }
}

bool fake_store::Changes(const json::object& commit, const std::string& key) {
  const auto writes_key = [&](const json::value& write) {
    return write.as_object().at("key").as_string() == key;
  };
  const auto removes_key = [&](const json::value& removed) {
    return removed.as_string() == key;
  };
  return std::ranges::any_of(commit.at("writes").as_array(), writes_key) ||
         std::ranges::any_of(commit.at("remove").as_array(), removes_key);
}

http::server_response fake_store::ApplyCommit(const json::object& body) {
  json::array current_items;
  bool preconditions_hold = true;
  for (const json::value& entry : body.at("expected-rev").as_array()) {
    const json::object& row = entry.as_object();
    const std::string key(row.at("key").as_string());
    const auto it = items_.find(key);
    item current_item;
    if (it != items_.end()) current_item = it->second;
    if (current_item.revision != NumberField(row, "revision"))
      preconditions_hold = false;
    if (current_item.revision == 0 && omits_absent_items_) continue;
    current_items.push_back(EncodeItem(key, current_item));
  }
  if (!preconditions_hold) {
    return http::MakeJsonResponse(
        412, json::object{{"items", std::move(current_items)}});
  }
  ++commit_count_;
  ++revision_;
  for (const json::value& entry : body.at("writes").as_array()) {
    const json::object& row = entry.as_object();
    WriteItem(std::string(row.at("key").as_string()),
              DecodeBase64(std::string(row.at("value").as_string())),
              NumberField(row, "lease"));
  }
  for (const json::value& key : body.at("remove").as_array()) {
    DeleteKey(std::string(key.as_string()));
  }
  return http::MakeJsonResponse(200, json::object{{"revision", revision_}});
}

void fake_store::SendRange(const http::server_request& request,
                           const http::server::responder& respond) {
  const std::string prefix(request.target.QueryParameter("prefix"));
  const std::string after(request.target.QueryParameter("after"));
  json::array items;
  bool has_more = false;
  for (const auto& [key, entry] : items_) {
    if (!key.starts_with(prefix) || key <= after) continue;
    if (items.size() == kMaxRangeItems) {
      has_more = true;
      break;
    }
    items.push_back(EncodeItem(key, entry));
  }
  respond(
      http::MakeJsonResponse(200, json::object{{"items", std::move(items)},
                                               {"has-more", has_more},
                                               {"current-rev", revision_}}));
}

json::array fake_store::EventsAfter(const std::string& prefix,
                                    std::uint64_t after) {
  json::array events;
  for (const change& entry : history_) {
    if (entry.revision <= after || !entry.key.starts_with(prefix)) continue;
    if (entry.deleted) {
      events.push_back(json::object{
          {"key", entry.key}, {"revision", entry.revision}, {"removed", true}});
    } else {
      events.push_back(EncodeItem(entry.key, entry.new_item));
    }
  }
  return events;
}

void fake_store::SendChanges(const http::server_request& request,
                             http::server::responder respond) {
  const std::string prefix(request.target.QueryParameter("prefix"));
  const std::uint64_t after =
      ParseNumber(request.target.QueryParameter("after"));
  const millis until =
      clock_.Now() + static_cast<millis>(
                         ParseNumber(request.target.QueryParameter("wait-ms")));
  PollUntil(io_, [this, prefix, after, until, respond = std::move(respond)] {
    ExpireDueLeases();
    if (after < history_start_revision_) {
      respond(http::MakeErrorResponse(410, "gone", "history"));
      return true;
    }
    json::array events =
        watches_muted_ ? json::array{} : EventsAfter(prefix, after);
    if (events.empty() && clock_.Now() < until && !unavailable_) return false;
    respond(http::MakeJsonResponse(
        200,
        json::object{{"events", std::move(events)},
                     {"current-rev", watches_muted_ ? after : revision_}}));
    return true;
  });
}

}  // namespace radishwing::fleet_fake
