#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "src/http/client.h"
#include "src/http/server.h"

namespace radishwing::http {

/// A server and a client of that server. Both use one io_context, which the
/// test runs.
struct http_fixture {
  /// Creates the server, and the client with the server's address.
  void StartServer() {
    auto created =
        server::Make(io, test_server_options,
                     [this](server_request request, server::responder respond) {
                       ++handled_requests;
                       handler(std::move(request), std::move(respond));
                     });
    test_server = Value(std::move(created));
    test_client_options.address = test_server->Address();
    test_client = Value(client::Make(io, test_client_options));
  }

  /// Runs the event loop until `ready` returns true. Throws after 20 s; only a
  /// hanging test takes that long.
  template <typename Ready>
  void RunUntil(Ready ready) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!ready()) {
      if (std::chrono::steady_clock::now() > end) {
        throw std::runtime_error("the expected condition did not become true");
      }
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
  }

  /// Sends a request and runs the event loop until it completes. `on_poll` is
  /// called before each turn of the event loop and after the last one.
  result<client_response> SendRequest(
      client_request request, const std::function<void()>& on_poll = {}) {
    std::optional<result<client_response>> outcome;
    test_client->Send(std::move(request), [&](result<client_response> r) {
      outcome = std::move(r);
    });
    RunUntil([&] {
      if (on_poll) on_poll();
      return outcome.has_value();
    });
    return *outcome;
  }

  boost::asio::io_context io{1};
  /// The server and client options take effect when StartServer is called.
  server_options test_server_options;
  client_options test_client_options;
  /// Executes the requests that the server receives.
  server::handler handler = [](server_request, server::responder respond) {
    respond({});
  };
  int handled_requests = 0;  ///< Number of requests passed to `handler`.
  std::unique_ptr<server> test_server;
  std::unique_ptr<client> test_client;
};

}  // namespace radishwing::http
