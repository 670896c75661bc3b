#include "src/http/client_impl.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <chrono>
#include <utility>

namespace radishwing::http {
namespace {

// A server that closes every connection at once must not be called in a loop.
constexpr int kMaxAttempts = 3;

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// An idle connection has nothing to read. Anything else means that the server
// closed it or sent bytes that belong to no request.
bool IsQuiet(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t got =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

void client::impl::Begin(const exchange_ptr& exchange) {
  if (waiting.size() >= options.max_waiting) {
    exchange->completion(failure{
        failure_kind::kFull, "too many requests wait for " + options.address});
    return;
  }
  waiting.push_back(exchange);
  ArmTimer(exchange);
  Dispatch();
}

void client::impl::Stop() {
  stopped = true;
  CloseIdle();
  for (const auto& exchange : waiting) exchange->timer.cancel();
  for (const auto& exchange : active) {
    exchange->timer.cancel();
    Close(exchange->connection);
  }
  waiting.clear();
  active.clear();
}

void client::impl::Dispatch() {
  while (!stopped && !waiting.empty() &&
         (!idle.empty() || open < options.max_connections)) {
    exchange_ptr exchange = waiting.front();
    waiting.pop_front();
    Start(exchange);
  }
}

void client::impl::Start(const exchange_ptr& exchange) {
  active.insert(exchange);
  ++exchange->attempts;
  exchange->connection = TakeIdle(exchange->request);
  ArmTimer(exchange);
  if (exchange->connection) {
    Write(exchange);
  } else {
    Connect(exchange);
  }
}

client::impl::connection_ptr client::impl::TakeIdle(
    const client_request& request) {
  const millis longest =
      request.repeatable ? options.idle_ms : options.fresh_ms;
  while (!idle.empty()) {
    connection_ptr connection = idle.back();
    idle.pop_back();
    const auto age = steady_clock::now() - connection->idle_since;
    if (age <= milliseconds(longest) && IsQuiet(connection->socket)) {
      connection->reused = true;
      return connection;
    }
    Close(connection);
  }
  return nullptr;
}

void client::impl::Connect(const exchange_ptr& exchange) {
  auto connection = std::make_shared<client_connection>(io);
  exchange->connection = connection;
  ++open;
  connection->socket.async_connect(
      endpoint, [self = shared_from_this(), exchange,
                 connection](boost::system::error_code error) {
        if (connection->closed) return;
        if (error) {
          self->Break(exchange, failure_kind::kUnavailable,
                      "connect to " + self->options.address +
                          " failed: " + error.message());
          return;
        }
        boost::system::error_code ignored;
        connection->socket.set_option(boost::asio::ip::tcp::no_delay(true),
                                      ignored);
        self->ArmTimer(exchange);
        self->Write(exchange);
      });
}

void client::impl::Write(const exchange_ptr& exchange) {
  exchange->written = true;
  exchange->parser.emplace();
  exchange->parser->body_limit(options.max_body_bytes);
  boost::beast::http::async_write(
      exchange->connection->socket, exchange->message,
      [self = shared_from_this(), exchange, connection = exchange->connection](
          boost::system::error_code error, std::size_t) {
        if (connection->closed) return;
        // A server may answer and close before it has read the whole body:
        // its answer is then still waiting to be read.
        static_cast<void>(error);
        self->Read(exchange);
      });
}

void client::impl::Read(const exchange_ptr& exchange) {
  boost::beast::http::async_read(
      exchange->connection->socket, exchange->connection->buffer,
      *exchange->parser,
      [self = shared_from_this(), exchange, connection = exchange->connection](
          boost::system::error_code error, std::size_t) {
        if (connection->closed) return;
        if (!error) {
          self->Deliver(exchange);
          return;
        }
        const bool broken_answer =
            error.category() == boost::beast::http::make_error_code(
                                    boost::beast::http::error::end_of_stream)
                                    .category() &&
            error != boost::beast::http::error::end_of_stream &&
            error != boost::beast::http::error::partial_message;
        self->Break(
            exchange,
            broken_answer ? failure_kind::kInternal : failure_kind::kTimeout,
            "no response from " + self->options.address + ": " +
                error.message());
      });
}

void client::impl::Deliver(const exchange_ptr& exchange) {
  auto message = exchange->parser->release();
  client_response response;
  response.status = message.result_int();
  for (const auto& field : message) {
    response.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  response.body = std::move(message.body());
  connection_ptr connection = std::exchange(exchange->connection, nullptr);
  if (message.keep_alive() && connection->buffer.size() == 0) {
    connection->idle_since = steady_clock::now();
    idle.push_back(connection);
  } else {
    Close(connection);
  }
  Finish(exchange, std::move(response));
}

void client::impl::ArmTimer(const exchange_ptr& exchange) {
  auto expiry = exchange->deadline;
  const auto now = steady_clock::now();
  if (exchange->connection && exchange->request.repeatable) {
    expiry = std::min(expiry, now + milliseconds(exchange->request.attempt_ms));
  } else if (active.contains(exchange) && !exchange->connection) {
    expiry = std::min(expiry, now + milliseconds(options.connect_ms));
  }
  exchange->timer.expires_at(expiry);
  exchange->timer.async_wait(
      [self = shared_from_this(), exchange](boost::system::error_code error) {
        if (!error && !self->stopped) self->OnTimer(exchange);
      });
}

void client::impl::OnTimer(const exchange_ptr& exchange) {
  // A timer that expired just before it was re-armed or the exchange ended.
  if (!exchange->completion || steady_clock::now() < exchange->timer.expiry()) {
    return;
  }
  if (exchange->connection) {
    // Connections opened at the same time tend to go silent together.
    CloseIdle();
    Break(
        exchange,
        exchange->written ? failure_kind::kTimeout : failure_kind::kUnavailable,
        "no answer from " + options.address + " in time");
    return;
  }
  std::erase(waiting, exchange);
  Finish(exchange, failure{exchange->written ? failure_kind::kTimeout
                                             : failure_kind::kUnavailable,
                           "no free connection to " + options.address});
}

void client::impl::Break(const exchange_ptr& exchange, failure_kind kind,
                         const std::string& what) {
  connection_ptr connection = std::exchange(exchange->connection, nullptr);
  Close(connection);
  const bool may_repeat = exchange->request.repeatable &&
                          kind == failure_kind::kTimeout &&
                          exchange->attempts < kMaxAttempts &&
                          steady_clock::now() < exchange->deadline;
  if (may_repeat) {
    active.erase(exchange);
    waiting.push_front(exchange);
    ArmTimer(exchange);
    // Posted, so that a server that closes at once cannot nest the calls.
    boost::asio::post(io, [self = shared_from_this()] { self->Dispatch(); });
    return;
  }
  if (kind == failure_kind::kUnavailable && exchange->written) {
    kind = failure_kind::kTimeout;  // An earlier attempt left some bytes.
  }
  Finish(exchange, failure{kind, what});
}

void client::impl::Finish(const exchange_ptr& exchange,
                          result<client_response> outcome) {
  active.erase(exchange);
  exchange->timer.cancel();
  auto completion = std::exchange(exchange->completion, nullptr);
  Dispatch();
  if (completion) completion(std::move(outcome));
}

void client::impl::Close(const connection_ptr& connection) {
  if (!connection || connection->closed) return;
  connection->closed = true;
  --open;
  boost::system::error_code ignored;
  connection->socket.close(ignored);
}

void client::impl::CloseIdle() {
  for (const auto& connection : idle) Close(connection);
  idle.clear();
}

}  // namespace radishwing::http
