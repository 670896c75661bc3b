#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace world {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
namespace json = boost::json;
using millis = std::int64_t;

/// Returns the time in ms since the first call.
inline millis Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

inline millis UnixNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline net::awaitable<void> Sleep(millis time) {
  net::steady_timer timer(co_await net::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(time));
  boost::system::error_code error;
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, error));
}

struct request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;

  std::int64_t Number(const std::string& name) const {
    const auto it = query.find(name);
    return it == query.end() ? 0
                             : std::strtoll(it->second.c_str(), nullptr, 10);
  }
  std::string Text(const std::string& name) const {
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
  }
};

struct reply {
  int status = 200;
  std::string body = "{}";
  /// The connection is closed without an answer.
  bool drop = false;
};

inline reply Json(const json::object& body, int status = 200) {
  return {status, json::serialize(body), false};
}

using handler = std::function<net::awaitable<reply>(request)>;

inline std::string PercentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(
          std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

/// Serves HTTP/1.1 at a loopback address until it is closed. Each request runs
/// in a coroutine of its connection.
class http_server {
 public:
  http_server(net::io_context& io, const std::string& ip, std::uint16_t port,
              handler serve)
      : state_(std::make_shared<state>(io, std::move(serve))) {
    const net::ip::tcp::endpoint endpoint(net::ip::make_address(ip), port);
    state_->acceptor.open(endpoint.protocol());
    state_->acceptor.set_option(net::socket_base::reuse_address(true));
    state_->acceptor.bind(endpoint);
    state_->acceptor.listen();
    net::co_spawn(io, Accept(state_), net::detached);
  }
  ~http_server() { Close(); }
  http_server(const http_server&) = delete;

  std::string Address() const {
    const auto endpoint = state_->acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" +
           std::to_string(endpoint.port());
  }

  /// Stops to listen and resets all connections, as the end of a process does.
  void Close() {
    if (state_->closed) return;
    state_->closed = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    for (net::ip::tcp::socket* socket : state_->sockets) {
      socket->set_option(net::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

 private:
  struct state {
    state(net::io_context& io, handler serve)
        : acceptor(io), serve(std::move(serve)) {}
    net::ip::tcp::acceptor acceptor;
    handler serve;
    std::set<net::ip::tcp::socket*> sockets;
    bool closed = false;
  };

  static net::awaitable<void> Accept(std::shared_ptr<state> state) {
    while (!state->closed) {
      boost::system::error_code error;
      auto socket = co_await state->acceptor.async_accept(
          net::redirect_error(net::use_awaitable, error));
      if (error) continue;
      net::co_spawn(co_await net::this_coro::executor,
                    Serve(state, std::move(socket)), net::detached);
    }
  }

  static net::awaitable<void> Serve(std::shared_ptr<state> state,
                                    net::ip::tcp::socket socket) {
    state->sockets.insert(&socket);
    co_await ServeRequests(state, socket);
    state->sockets.erase(&socket);
  }

  static net::awaitable<void> ServeRequests(std::shared_ptr<state> state,
                                            net::ip::tcp::socket& socket) {
    boost::system::error_code error;
    socket.set_option(net::ip::tcp::no_delay(true), error);
    beast::flat_buffer buffer;
    while (!state->closed) {
      bhttp::request_parser<bhttp::string_body> parser;
      parser.body_limit(8u << 20);
      co_await bhttp::async_read(
          socket, buffer, parser,
          net::redirect_error(net::use_awaitable, error));
      if (error || state->closed) co_return;
      const auto message = parser.release();
      reply answer = co_await state->serve(Decode(message));
      if (answer.drop || state->closed) co_return;
      bhttp::response<bhttp::string_body> response;
      response.version(11);
      response.result(static_cast<unsigned>(answer.status));
      response.set(bhttp::field::content_type, "application/json");
      response.body() = std::move(answer.body);
      response.keep_alive(message.keep_alive());
      response.prepare_payload();
      co_await bhttp::async_write(
          socket, response, net::redirect_error(net::use_awaitable, error));
      if (error || !message.keep_alive()) co_return;
    }
  }

  static request Decode(const bhttp::request<bhttp::string_body>& message) {
    request out;
    out.method = std::string(message.method_string());
    std::string_view target(message.target().data(), message.target().size());
    const std::size_t mark = target.find('?');
    out.path = PercentDecode(target.substr(0, mark));
    while (mark != std::string_view::npos && !target.empty()) {
      target = target.substr(target.find_first_of("?&") + 1);
      const std::string_view pair = target.substr(0, target.find('&'));
      const std::size_t equals = pair.find('=');
      out.query[PercentDecode(pair.substr(0, equals))] =
          equals == std::string_view::npos
              ? ""
              : PercentDecode(pair.substr(equals + 1));
      if (target.find('&') == std::string_view::npos) break;
      target = target.substr(target.find('&'));
    }
    for (const auto& field : message) {
      out.headers[std::string(field.name_string())] =
          std::string(field.value());
    }
    out.body = message.body();
    return out;
  }

  std::shared_ptr<state> state_;
};

/// Sends one request on a connection of its own. Returns status 0 if there is
/// no answer within `timeout`.
inline net::awaitable<reply> Call(std::string ip, std::uint16_t port,
                                  std::string method, std::string target,
                                  std::map<std::string, std::string> headers,
                                  std::string body, millis timeout) {
  beast::tcp_stream stream(co_await net::this_coro::executor);
  stream.expires_after(std::chrono::milliseconds(timeout));
  boost::system::error_code error;
  const auto token = [&error] {
    return net::redirect_error(net::use_awaitable, error);
  };
  co_await stream.async_connect(
      net::ip::tcp::endpoint(net::ip::make_address(ip), port), token());
  if (error) co_return reply{0, error.message(), true};
  bhttp::request<bhttp::string_body> message(bhttp::string_to_verb(method),
                                             target, 11);
  for (const auto& [name, value] : headers) message.set(name, value);
  message.body() = std::move(body);
  message.prepare_payload();
  co_await bhttp::async_write(stream, message, token());
  if (error) co_return reply{0, error.message(), true};
  beast::flat_buffer buffer;
  bhttp::response<bhttp::string_body> response;
  co_await bhttp::async_read(stream, buffer, response, token());
  if (error) co_return reply{0, error.message(), true};
  co_return reply{static_cast<int>(response.result_int()), response.body(),
                  false};
}

inline std::string TextAt(const json::object& body, std::string_view key) {
  const json::value* value = body.if_contains(key);
  return value && value->is_string() ? value->get_string().c_str() : "";
}

inline std::int64_t NumberAt(const json::object& body, std::string_view key,
                             std::int64_t fallback = 0) {
  const json::value* value = body.if_contains(key);
  return value && value->is_number() ? value->to_number<std::int64_t>()
                                     : fallback;
}

inline json::object ParseBody(const std::string& body) {
  boost::system::error_code error;
  json::value value = json::parse(body.empty() ? "{}" : body, error);
  return !error && value.is_object() ? value.get_object() : json::object();
}

}  // namespace world
