#pragma once

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/http/client.h"
#include "src/http/client_exchange.h"

namespace radishwing::http {

/// Implementation of client. Pending I/O handlers keep the object alive.
struct client::impl : std::enable_shared_from_this<client::impl> {
  using exchange_ptr = std::shared_ptr<client_exchange>;
  using connection_ptr = std::shared_ptr<client_connection>;

  impl(boost::asio::io_context& io, client_options options,
       boost::asio::ip::tcp::endpoint endpoint)
      : io(io), options(std::move(options)), endpoint(std::move(endpoint)) {}

  /// Queues the exchange, then starts queued exchanges while connections are
  /// available. Completes the exchange with kFull if the queue is full.
  void Enqueue(const exchange_ptr& exchange);
  /// Closes all connections and drops all exchanges without calling their
  /// completion functions.
  void Stop();

  /// Starts queued exchanges while an idle connection exists or a new one may
  /// be opened.
  void StartQueuedExchanges();
  /// Sends the request on an idle connection, or on a new one if no idle
  /// connection may carry it.
  void StartAttempt(const exchange_ptr& exchange);
  /// Removes and returns the most recently used idle connection that may carry
  /// `request`, or returns null if there is none. Closes the more recently used
  /// ones that are broken or have been idle for too long.
  connection_ptr TakeIdleConnection(const client_request& request);
  /// Opens a connection for the exchange, then writes the request.
  void Connect(const exchange_ptr& exchange);
  void WriteRequest(const exchange_ptr& exchange);
  /// Reads the next part of the response, until the response is complete.
  void ReadResponse(const exchange_ptr& exchange);
  /// Extends the deadline of a request with a progress timeout, because a part
  /// of the response has arrived.
  void ExtendDeadline(const exchange_ptr& exchange);
  /// Keeps the connection for reuse or closes it, then completes the exchange
  /// with the parsed response.
  void CompleteWithResponse(const exchange_ptr& exchange);
  /// Sets the time limit of the current step: queueing, connecting or awaiting
  /// the response. Leaves the timer as it is if it expires before that time.
  void ArmTimer(const exchange_ptr& exchange);
  /// Waits until the timer's expiry, then for the rest of the current step.
  void AwaitTimer(const exchange_ptr& exchange);
  /// Extends the deadline of an exchange without a response if the link is
  /// congested; returns false if it does not.
  bool ExtendForCongestion(const exchange_ptr& exchange);
  /// Called at the time limit of a step. Ends the current attempt or, if the
  /// exchange is queued, completes it with a failure.
  void EndTimedOutWait(const exchange_ptr& exchange);
  /// Closes the connection of a failed attempt, then queues the exchange again
  /// if another attempt is allowed. Otherwise completes the exchange with a
  /// failure.
  void RetryOrFail(const exchange_ptr& exchange, failure_kind kind,
                   const std::string& error_message);
  /// Calls the completion function with `outcome`, after starting queued
  /// exchanges.
  void Complete(const exchange_ptr& exchange, result<client_response> outcome);
  void CloseConnection(const connection_ptr& connection);
  /// Closes a connection whose request is abandoned. Resets it, so that bytes
  /// which the server has not received yet are discarded and cannot be executed
  /// later.
  void ResetConnection(const connection_ptr& connection);
  /// Ends an exchange whose request may not be sent, from the event loop:
  /// completing it here would start the next queued exchange, which may end in
  /// the same way.
  void FailUnsent(const exchange_ptr& exchange, std::string_view reason);
  /// Returns false if the time limit of a request is over or its sender may not
  /// send it any more.
  static bool MayStillSend(const client_exchange& exchange);
  void CloseIdleConnections();

  boost::asio::io_context& io;
  client_options options;
  boost::asio::ip::tcp::endpoint endpoint;  ///< Address of the server.
  std::deque<exchange_ptr> queued_exchanges;
  /// Exchanges with an attempt in progress.
  std::set<exchange_ptr> active_exchanges;
  /// Connections that carry no request, the most recently used one last.
  std::vector<connection_ptr> idle_connections;
  /// Number of open connections, including idle ones.
  std::size_t open_connections = 0;
  /// Number of connections established so far.
  std::uint64_t established_connections = 0;
  bool stopped = false;  ///< True once Stop was called.
};

}  // namespace radishwing::http
