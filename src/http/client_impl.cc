#include "src/http/client_impl.h"

#include <netinet/tcp.h>
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

// Largest number of attempts for one request. Without this limit, a client of a
// server that closes every connection immediately would retry until the
// deadline.
constexpr int kMaxAttempts = 3;

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Returns false if the server has closed the idle connection or has sent bytes
// without a request. Both make the socket readable.
bool IsReusable(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t received =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void SetUnacknowledgedTimeout(boost::asio::ip::tcp::socket& socket,
                              const boost::asio::ip::tcp::endpoint& endpoint,
                              millis timeout_ms) {
  if (timeout_ms == 0) return;
  boost::system::error_code error;
  socket.open(endpoint.protocol(), error);
  if (error) return;  // Connecting reports the error.
  const int value = static_cast<int>(timeout_ms);
  static_cast<void>(::setsockopt(socket.native_handle(), IPPROTO_TCP,
                                 TCP_USER_TIMEOUT, &value, sizeof(value)));
}

}  // namespace

void client::impl::Enqueue(const exchange_ptr& exchange) {
  if (queued_exchanges.size() >= options.max_queued_requests) {
    exchange->completion(
        failure{failure_kind::kFull,
                "too many requests are queued for " + options.address});
    return;
  }
  queued_exchanges.push_back(exchange);
  ArmTimer(exchange);
  StartQueuedExchanges();
}

void client::impl::Stop() {
  stopped = true;
  CloseIdleConnections();
  for (const auto& exchange : queued_exchanges) exchange->timer.cancel();
  for (const auto& exchange : active_exchanges) {
    exchange->timer.cancel();
    ResetConnection(exchange->connection);
  }
  queued_exchanges.clear();
  active_exchanges.clear();
}

void client::impl::StartQueuedExchanges() {
  while (!stopped && !queued_exchanges.empty() &&
         (!idle_connections.empty() ||
          open_connections < options.max_connections)) {
    exchange_ptr exchange = queued_exchanges.front();
    queued_exchanges.pop_front();
    StartAttempt(exchange);
  }
}

void client::impl::StartAttempt(const exchange_ptr& exchange) {
  active_exchanges.insert(exchange);
  ++exchange->attempts_started;
  exchange->connection = TakeIdleConnection(exchange->request);
  ArmTimer(exchange);
  if (exchange->connection) {
    WriteRequest(exchange);
  } else if (exchange->request.max_connection) {
    FailUnsent(exchange, "no established connection may carry the request");
  } else {
    Connect(exchange);
  }
}

client::impl::connection_ptr client::impl::TakeIdleConnection(
    const client_request& request) {
  const millis max_idle = request.idempotent
                              ? options.max_idle_ms
                              : options.max_idle_for_non_idempotent_ms;
  for (std::size_t i = idle_connections.size(); i-- > 0;) {
    connection_ptr connection = idle_connections[i];
    if (request.max_connection && connection->number > *request.max_connection)
      continue;
    idle_connections.erase(idle_connections.begin() +
                           static_cast<std::ptrdiff_t>(i));
    const auto idle_time = steady_clock::now() - connection->idle_since;
    if (idle_time <= milliseconds(max_idle) && IsReusable(connection->socket)) {
      connection->reused = true;
      return connection;
    }
    CloseConnection(connection);
  }
  return nullptr;
}

void client::impl::Connect(const exchange_ptr& exchange) {
  auto connection = std::make_shared<client_connection>(io);
  exchange->connection = connection;
  ++open_connections;
  SetUnacknowledgedTimeout(connection->socket, endpoint,
                           options.unacknowledged_timeout_ms);
  connection->socket.async_connect(
      endpoint, [self = shared_from_this(), exchange,
                 connection](boost::system::error_code error) {
        if (connection->closed) return;
        if (error) {
          self->RetryOrFail(exchange, failure_kind::kUnavailable,
                            "connecting to " + self->options.address +
                                " failed: " + error.message());
          return;
        }
        connection->number = ++self->established_connections;
        boost::system::error_code ignored;
        connection->socket.set_option(boost::asio::ip::tcp::no_delay(true),
                                      ignored);
        self->ArmTimer(exchange);
        self->WriteRequest(exchange);
      });
}

bool client::impl::MayStillSend(const client_exchange& exchange) {
  return steady_clock::now() < exchange.deadline &&
         (!exchange.request.still_permitted ||
          exchange.request.still_permitted());
}

void client::impl::FailUnsent(const exchange_ptr& exchange,
                              std::string_view reason) {
  boost::asio::post(
      io, [self = shared_from_this(), exchange, reason = std::string(reason)] {
        if (!self->stopped && exchange->completion) {
          self->RetryOrFail(exchange, failure_kind::kUnavailable, reason);
        }
      });
}

void client::impl::WriteRequest(const exchange_ptr& exchange) {
  if (!MayStillSend(*exchange)) {
    return FailUnsent(exchange, "the request may not be sent any more");
  }
  exchange->may_have_sent = true;
  exchange->parser.emplace();
  exchange->parser->body_limit(options.max_body_bytes);
  // Parses the header and the body in one sequence of reads.
  exchange->parser->eager(true);
  exchange->received_bytes = 0;
  boost::beast::http::async_write(
      exchange->connection->socket, exchange->request_message,
      [self = shared_from_this(), exchange, connection = exchange->connection](
          boost::system::error_code error, std::size_t bytes) {
        if (connection->closed) return;
        if (self->options.link.count_traffic)
          self->options.link.count_traffic(bytes, 0);
        // A write error does not end the attempt: the server may have responded
        // and closed the connection before it read the whole body. The client
        // can still read that response.
        static_cast<void>(error);
        self->ReadResponse(exchange);
      });
}

void client::impl::ReadResponse(const exchange_ptr& exchange) {
  boost::beast::http::async_read_some(
      exchange->connection->socket, exchange->connection->read_buffer,
      *exchange->parser,
      [self = shared_from_this(), exchange, connection = exchange->connection](
          boost::system::error_code error, std::size_t bytes) {
        if (connection->closed) return;
        if (self->options.link.count_traffic)
          self->options.link.count_traffic(0, bytes);
        exchange->received_bytes += bytes;
        if (!error) {
          if (exchange->parser->is_done()) {
            return self->CompleteWithResponse(exchange);
          }
          self->ExtendDeadline(exchange);
          return self->ReadResponse(exchange);
        }
        const bool malformed_response =
            error.category() == boost::beast::http::make_error_code(
                                    boost::beast::http::error::end_of_stream)
                                    .category() &&
            error != boost::beast::http::error::end_of_stream &&
            error != boost::beast::http::error::partial_message;
        self->RetryOrFail(exchange,
                          malformed_response ? failure_kind::kInternal
                                             : failure_kind::kTimeout,
                          "cannot read the response from " +
                              self->options.address + ": " + error.message());
      });
}

void client::impl::ExtendDeadline(const exchange_ptr& exchange) {
  if (exchange->request.progress_timeout_ms <= 0) return;
  exchange->deadline =
      std::min(exchange->last_deadline,
               steady_clock::now() +
                   milliseconds(exchange->request.progress_timeout_ms));
  ArmTimer(exchange);
}

void client::impl::CompleteWithResponse(const exchange_ptr& exchange) {
  auto message = exchange->parser->release();
  client_response response;
  response.status = message.result_int();
  for (const auto& field : message) {
    response.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  response.body = std::move(message.body());
  connection_ptr connection = std::exchange(exchange->connection, nullptr);
  response.connection = connection->number;
  if (message.keep_alive() && connection->read_buffer.size() == 0) {
    connection->idle_since = steady_clock::now();
    idle_connections.push_back(connection);
  } else {
    CloseConnection(connection);
  }
  Complete(exchange, std::move(response));
}

void client::impl::ArmTimer(const exchange_ptr& exchange) {
  auto expiry = exchange->deadline;
  const auto now = steady_clock::now();
  if (exchange->connection && exchange->request.idempotent) {
    expiry = std::min(expiry,
                      now + milliseconds(exchange->request.attempt_timeout_ms));
  } else if (active_exchanges.contains(exchange) && !exchange->connection) {
    expiry = std::min(expiry, now + milliseconds(options.connect_timeout_ms));
  }
  exchange->step_deadline = expiry;
  // Setting a timer again costs more than an early wake-up, and most steps end
  // long before their time limit.
  if (exchange->timer_armed && exchange->timer.expiry() <= expiry) return;
  exchange->timer.expires_at(expiry);
  AwaitTimer(exchange);
}

void client::impl::AwaitTimer(const exchange_ptr& exchange) {
  exchange->timer_armed = true;
  exchange->timer.async_wait(
      [self = shared_from_this(), exchange](boost::system::error_code error) {
        if (error || self->stopped || !exchange->completion) return;
        exchange->timer_armed = false;
        if (steady_clock::now() >= exchange->step_deadline) {
          return self->EndTimedOutWait(exchange);
        }
        exchange->timer.expires_at(exchange->step_deadline);
        self->AwaitTimer(exchange);
      });
}

bool client::impl::ExtendForCongestion(const exchange_ptr& exchange) {
  if (exchange->request.progress_timeout_ms <= 0 ||
      exchange->received_bytes > 0 || !options.link.is_congested ||
      exchange->deadline >= exchange->congested_deadline ||
      !options.link.is_congested()) {
    return false;
  }
  exchange->deadline =
      std::min(exchange->congested_deadline,
               steady_clock::now() +
                   milliseconds(exchange->request.progress_timeout_ms));
  ArmTimer(exchange);
  return true;
}

void client::impl::EndTimedOutWait(const exchange_ptr& exchange) {
  if (ExtendForCongestion(exchange)) return;
  if (exchange->connection) {
    // Connections opened at the same time tend to stop responding together, so
    // the client does not reuse the idle connections either.
    CloseIdleConnections();
    RetryOrFail(exchange,
                exchange->may_have_sent ? failure_kind::kTimeout
                                        : failure_kind::kUnavailable,
                "no response from " + options.address +
                    " within the time limit, received_bytes=" +
                    std::to_string(exchange->received_bytes));
    return;
  }
  std::erase(queued_exchanges, exchange);
  Complete(exchange,
           failure{exchange->may_have_sent ? failure_kind::kTimeout
                                           : failure_kind::kUnavailable,
                   "no free connection to " + options.address});
}

void client::impl::RetryOrFail(const exchange_ptr& exchange, failure_kind kind,
                               const std::string& error_message) {
  connection_ptr connection = std::exchange(exchange->connection, nullptr);
  ResetConnection(connection);
  const bool may_retry = exchange->request.idempotent &&
                         kind == failure_kind::kTimeout &&
                         exchange->attempts_started < kMaxAttempts &&
                         steady_clock::now() < exchange->deadline;
  if (may_retry) {
    active_exchanges.erase(exchange);
    queued_exchanges.push_front(exchange);
    ArmTimer(exchange);
    // A direct call would recurse once per attempt if the server closes each
    // connection immediately.
    boost::asio::post(
        io, [self = shared_from_this()] { self->StartQueuedExchanges(); });
    return;
  }
  if (kind == failure_kind::kUnavailable && exchange->may_have_sent) {
    // An earlier attempt may have sent a part of the request.
    kind = failure_kind::kTimeout;
  }
  Complete(exchange, failure{kind, error_message});
}

void client::impl::Complete(const exchange_ptr& exchange,
                            result<client_response> outcome) {
  active_exchanges.erase(exchange);
  exchange->timer.cancel();
  auto completion = std::exchange(exchange->completion, nullptr);
  StartQueuedExchanges();
  if (completion) completion(std::move(outcome));
}

void client::impl::CloseConnection(const connection_ptr& connection) {
  if (!connection || connection->closed) return;
  connection->closed = true;
  --open_connections;
  boost::system::error_code ignored;
  connection->socket.close(ignored);
}

void client::impl::ResetConnection(const connection_ptr& connection) {
  if (!connection || connection->closed) return;
  boost::system::error_code ignored;
  connection->socket.set_option(boost::asio::socket_base::linger(true, 0),
                                ignored);
  CloseConnection(connection);
}

void client::impl::CloseIdleConnections() {
  for (const auto& connection : idle_connections) CloseConnection(connection);
  idle_connections.clear();
}

}  // namespace radishwing::http
