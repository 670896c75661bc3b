#pragma once

#include <boost/beast/core/detail/base64.hpp>
#include <deque>
#include <random>

#include "http.h"

namespace world {

/// Stand-in for the platform's metadata store, as the page on the protocol
/// describes it.
class store {
 public:
  static constexpr std::size_t kValueBytes = 1048576;
  static constexpr std::size_t kMaxPageItems = 500;
  static constexpr std::size_t kMaxEntries = 32;
  static constexpr millis kAnswerMs = 4;
  static constexpr millis kWatchStepMs = 5;

  store(net::io_context& io, const std::string& ip, std::uint16_t port)
      : server_(io, ip, port,
                [this](request call) { return Serve(std::move(call)); }) {}

  std::string Address() const { return server_.Address(); }

  void Put(const std::string& key, const std::string& value) {
    ++revision_;
    Write(key, value, 0);
  }
  void Remove(const std::string& key) {
    ++revision_;
    Delete(key);
  }
  std::string Value(const std::string& key) const {
    const auto it = items_.find(key);
    return it == items_.end() ? std::string() : it->second.value;
  }
  /// While set, each call gets this status and has no effect.
  void SetRefusal(int status) { refusal_ = status; }
  /// Sets how long the store takes for an answer.
  void SetAnswerTime(millis time) { answer_ms_ = time; }
  /// Discards the history.
  void Compact() { history_start_ = revision_; }
  /// Of 100 commits, so many are carried out without an answer, and so many are
  /// carried out without an answer `late_ms` later, if they still can be.
  void SetCommitLoss(int unanswered, int late, millis late_ms) {
    unanswered_percent_ = unanswered;
    late_percent_ = late;
    late_ms_ = late_ms;
  }
  /// Called for each write that the store rejects because a value is too large.
  std::function<void(const std::string& key, std::size_t bytes)> on_too_large;

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct lease {
    millis ttl = 0;
    millis expires_at = 0;
  };
  struct change {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    item current;
  };

  static std::string Encode(const std::string& bytes) {
    namespace base64 = beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
  }
  static std::string DecodeText(const std::string& text) {
    namespace base64 = beast::detail::base64;
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
  }
  static json::object Show(const std::string& key, const item& shown) {
    return {{"key", key},
            {"value", Encode(shown.value)},
            {"revision", shown.revision},
            {"created", shown.created},
            {"lease", shown.lease}};
  }

  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease_id) {
    item& entry = items_[key];
    if (entry.created == 0) entry.created = revision_;
    entry.value = value;
    entry.revision = revision_;
    entry.lease = lease_id;
    history_.push_back({key, revision_, false, entry});
  }
  void Delete(const std::string& key) {
    if (items_.erase(key) > 0) history_.push_back({key, revision_, true, {}});
  }
  void ExpireLeases() {
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (it->second.expires_at > Now()) {
        ++it;
        continue;
      }
      std::vector<std::string> keys;
      for (const auto& [key, entry] : items_) {
        if (entry.lease == it->first) keys.push_back(key);
      }
      ++revision_;
      for (const std::string& key : keys) Delete(key);
      it = leases_.erase(it);
    }
  }

  net::awaitable<reply> Serve(request call) {
    co_await Sleep(answer_ms_);
    ExpireLeases();
    if (refusal_ != 0) co_return reply{refusal_};
    if (call.path == "/kv-key") co_return Get(call);
    if (call.path == "/kv-range") co_return Range(call);
    if (call.path == "/kv-txn") {
      const int draw = static_cast<int>(random_() % 100);
      const bool late = draw < late_percent_;
      if (late) co_await Sleep(late_ms_);
      reply answer = Commit(ParseBody(call.body));
      answer.drop = late || draw < late_percent_ + unanswered_percent_;
      co_return answer;
    }
    if (call.path == "/kv-lease") co_return Grant(ParseBody(call.body));
    if (call.path == "/kv-watch") co_return co_await Watch(std::move(call));
    co_return ChangeLease(call);
  }

  reply Get(const request& call) {
    const auto it = items_.find(call.Text("key"));
    if (it == items_.end()) return {404};
    return Json(Show(it->first, it->second));
  }

  reply Range(const request& call) {
    const std::string prefix = call.Text("prefix");
    const std::string after = call.Text("after");
    json::array items;
    bool more = false;
    for (const auto& [key, entry] : items_) {
      if (!key.starts_with(prefix) || key <= after) continue;
      if (items.size() == kMaxPageItems) {
        more = true;
        break;
      }
      items.push_back(Show(key, entry));
    }
    return Json({{"items", std::move(items)},
                 {"has-more", more},
                 {"current-rev", revision_}});
  }

  net::awaitable<reply> Watch(request call) {
    const std::string prefix = call.Text("prefix");
    const auto after = static_cast<std::uint64_t>(call.Number("after"));
    const millis until = Now() + call.Number("wait-ms");
    while (true) {
      ExpireLeases();
      if (refusal_ != 0) co_return reply{refusal_};
      if (after < history_start_) co_return reply{410};
      json::array events;
      for (auto it = history_.rbegin();
           it != history_.rend() && it->revision > after; ++it) {
        if (!it->key.starts_with(prefix)) continue;
        events.insert(events.begin(),
                      it->removed ? json::object{{"key", it->key},
                                                 {"revision", it->revision},
                                                 {"removed", true}}
                                  : Show(it->key, it->current));
      }
      if (!events.empty() || Now() >= until) {
        co_return Json(
            {{"events", std::move(events)}, {"current-rev", revision_}});
      }
      co_await Sleep(kWatchStepMs);
    }
  }

  reply Commit(const json::object& body) {
    const json::array none;
    const auto rows = [&](std::string_view key) -> const json::array& {
      const json::value* value = body.if_contains(key);
      return value && value->is_array() ? value->get_array() : none;
    };
    const json::array& expected = rows("expected-rev");
    const json::array& writes = rows("writes");
    const json::array& removals = rows("remove");
    if (expected.size() + writes.size() + removals.size() > kMaxEntries) {
      return {400};
    }
    bool holds = true;
    json::array current;
    for (const json::value& entry : expected) {
      const std::string key = TextAt(entry.as_object(), "key");
      const auto it = items_.find(key);
      const std::uint64_t revision =
          it == items_.end() ? 0 : it->second.revision;
      holds &= revision == static_cast<std::uint64_t>(
                               NumberAt(entry.as_object(), "revision"));
      if (it != items_.end()) current.push_back(Show(key, it->second));
    }
    for (const json::value& entry : writes) {
      const std::string key = TextAt(entry.as_object(), "key");
      const std::size_t bytes =
          DecodeText(TextAt(entry.as_object(), "value")).size();
      if (bytes > kValueBytes) {
        if (on_too_large) on_too_large(key, bytes);
        return {400};
      }
      if (key.starts_with("op/") || key.starts_with("servers/")) return {403};
      const auto held =
          static_cast<std::uint64_t>(NumberAt(entry.as_object(), "lease"));
      if (held != 0 && !leases_.contains(held)) return {404};
    }
    if (!holds) return Json({{"items", std::move(current)}}, 412);
    ++revision_;
    for (const json::value& entry : writes) {
      Write(TextAt(entry.as_object(), "key"),
            DecodeText(TextAt(entry.as_object(), "value")),
            static_cast<std::uint64_t>(NumberAt(entry.as_object(), "lease")));
    }
    for (const json::value& key : removals) Delete(key.as_string().c_str());
    return Json({{"revision", revision_}});
  }

  reply Grant(const json::object& body) {
    const millis ttl = NumberAt(body, "ttl-ms");
    const std::uint64_t id = next_lease_++;
    leases_[id] = {ttl, Now() + ttl};
    return Json({{"lease", id}, {"ttl-ms", ttl}});
  }

  reply ChangeLease(const request& call) {
    const std::uint64_t id = std::strtoull(
        call.path.substr(call.path.rfind('/') + 1).c_str(), nullptr, 10);
    const auto it = leases_.find(id);
    if (it == leases_.end()) return {404};
    const bool keep = call.path.starts_with("/kv-keep/");
    it->second.expires_at = keep ? Now() + it->second.ttl : 0;
    ExpireLeases();
    return {};
  }

  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::deque<change> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 100;
  int refusal_ = 0;
  millis answer_ms_ = kAnswerMs;
  std::uint64_t history_start_ = 0;
  int unanswered_percent_ = 0;
  int late_percent_ = 0;
  millis late_ms_ = 0;
  std::mt19937 random_{std::random_device{}()};
  http_server server_;
};

}  // namespace world
