#pragma once

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/http/client.h"
#include "src/http/client_exchange.h"

namespace radishwing::http {

/// Implementation of client. Pending handlers keep it alive.
struct client::impl : std::enable_shared_from_this<client::impl> {
  using exchange_ptr = std::shared_ptr<client_exchange>;
  using connection_ptr = std::shared_ptr<client_connection>;

  impl(boost::asio::io_context& io, client_options options,
       boost::asio::ip::tcp::endpoint endpoint)
      : io(io), options(std::move(options)), endpoint(std::move(endpoint)) {}

  /// Queues the exchange and starts queued exchanges while connections are
  /// available.
  void Enqueue(const exchange_ptr& exchange);
  /// Closes all connections and discards the pending completions.
  void Stop();

  void StartQueuedExchanges();
  void StartAttempt(const exchange_ptr& exchange);
  connection_ptr TakeIdleConnection(const client_request& request);
  void Connect(const exchange_ptr& exchange);
  void WriteRequest(const exchange_ptr& exchange);
  void ReadResponse(const exchange_ptr& exchange);
  void CompleteWithResponse(const exchange_ptr& exchange);
  void ArmTimer(const exchange_ptr& exchange);
  void EndTimedOutWait(const exchange_ptr& exchange);
  /// Closes the connection of a failed attempt, then retries the exchange if
  /// that is allowed and otherwise completes it with a failure.
  void RetryOrFail(const exchange_ptr& exchange, failure_kind kind,
                   const std::string& error_message);
  void Complete(const exchange_ptr& exchange, result<client_response> outcome);
  void CloseConnection(const connection_ptr& connection);
  void CloseIdleConnections();

  boost::asio::io_context& io;
  client_options options;
  boost::asio::ip::tcp::endpoint endpoint;
  std::deque<exchange_ptr> queued_exchanges;
  std::set<exchange_ptr> active_exchanges;
  /// Ordered by last use, most recent last.
  std::vector<connection_ptr> idle_connections;
  std::size_t open_connections = 0;
  bool stopped = false;
};

}  // namespace radishwing::http
