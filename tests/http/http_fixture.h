#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "src/http/client.h"
#include "src/http/server.h"

namespace radishwing::http {

/// A server and a client on one io_context that the test itself runs.
struct http_fixture {
  void Serve() {
    auto made = server::Make(
        io, options, [this](server_request request, server::responder respond) {
          ++handled;
          handler(std::move(request), std::move(respond));
        });
    endpoint = Value(std::move(made));
    client_limits.address = endpoint->Address();
    caller = Value(client::Make(io, client_limits));
  }

  /// Runs handlers until `ready`; the bound only ends a hung test.
  template <typename Ready>
  void RunUntil(Ready ready) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!ready()) {
      if (std::chrono::steady_clock::now() > end) {
        throw std::runtime_error("the awaited event did not happen");
      }
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
  }

  result<client_response> Call(client_request request,
                               const std::function<void()>& each = {}) {
    std::optional<result<client_response>> outcome;
    caller->Send(std::move(request),
                 [&](result<client_response> r) { outcome = std::move(r); });
    RunUntil([&] {
      if (each) each();
      return outcome.has_value();
    });
    return *outcome;
  }

  boost::asio::io_context io{1};
  server_options options;
  client_options client_limits;
  server::handler handler = [](server_request, server::responder respond) {
    respond({});
  };
  int handled = 0;
  std::unique_ptr<server> endpoint;
  std::unique_ptr<client> caller;
};

}  // namespace radishwing::http
