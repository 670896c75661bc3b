#pragma once

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/http/client.h"
#include "src/http/client_exchange.h"

namespace radishwing::http {

/// State and steps of a client. Kept alive by its pending handlers.
struct client::impl : std::enable_shared_from_this<client::impl> {
  using exchange_ptr = std::shared_ptr<client_exchange>;
  using connection_ptr = std::shared_ptr<client_connection>;

  impl(boost::asio::io_context& io, client_options options,
       boost::asio::ip::tcp::endpoint endpoint)
      : io(io), options(std::move(options)), endpoint(std::move(endpoint)) {}

  /// Queues the exchange and starts what can start.
  void Begin(const exchange_ptr& exchange);
  /// Closes everything and drops the pending completions.
  void Stop();

  void Dispatch();
  void Start(const exchange_ptr& exchange);
  connection_ptr TakeIdle(const client_request& request);
  void Connect(const exchange_ptr& exchange);
  void Write(const exchange_ptr& exchange);
  void Read(const exchange_ptr& exchange);
  void Deliver(const exchange_ptr& exchange);
  void ArmTimer(const exchange_ptr& exchange);
  void OnTimer(const exchange_ptr& exchange);
  /// The attempt broke: sends again if allowed, otherwise fails.
  void Break(const exchange_ptr& exchange, failure_kind kind,
             const std::string& what);
  void Finish(const exchange_ptr& exchange, result<client_response> outcome);
  void Close(const connection_ptr& connection);
  void CloseIdle();

  boost::asio::io_context& io;
  client_options options;
  boost::asio::ip::tcp::endpoint endpoint;
  std::deque<exchange_ptr> waiting;
  std::set<exchange_ptr> active;
  std::vector<connection_ptr> idle;  ///< The most recently used one is last.
  std::size_t open = 0;
  bool stopped = false;
};

}  // namespace radishwing::http
