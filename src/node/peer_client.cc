#include "src/node/peer_client.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace radishwing::node {
namespace {

constexpr std::size_t kMaxConnections = 12;
constexpr millis kConnectTimeoutMs = 400;
// Time limit for each further part of a response after its first byte.
constexpr millis kProgressTimeoutMs = 700;

}  // namespace

void peer_client::Call(const std::string& address, std::string target,
                       std::string body, millis first_byte_timeout_ms,
                       completion done) {
  auto& client = clients_[address];
  if (!client) {
    http::client_options options;
    options.address = address;
    options.max_connections = kMaxConnections;
    options.connect_timeout_ms = kConnectTimeoutMs;
    options.link = link_;
    auto made = http::client::Make(io_, options);
    if (!Ok(made)) {
      clients_.erase(address);
      return done(Error(made));
    }
    client = std::move(Value(made));
  }
  http::client_request request;
  request.method = boost::beast::http::verb::post;
  request.target = std::move(target);
  request.body = std::move(body);
  request.headers = {{"Content-Type", "application/json"}};
  request.total_timeout_ms = first_byte_timeout_ms;
  request.progress_timeout_ms = kProgressTimeoutMs;
  client->Send(std::move(request),
               [done = std::move(done)](result<http::client_response> answer) {
                 if (!Ok(answer)) return done(Error(answer));
                 if (Value(answer).status != 200) {
                   return done(failure{
                       Value(answer).status == 503 ? failure_kind::kDenied
                                                   : failure_kind::kUnavailable,
                       "peer responded with status " +
                           std::to_string(Value(answer).status)});
                 }
                 done(std::move(Value(answer).body));
               });
}

void peer_client::CallLater(millis delay, std::function<void()> next) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      io_, std::chrono::milliseconds(delay));
  timer->async_wait([timer, alive = std::weak_ptr<const bool>(alive_),
                     next = std::move(next)](boost::system::error_code error) {
    if (!error && !alive.expired()) next();
  });
}

}  // namespace radishwing::node
