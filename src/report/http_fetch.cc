#include "src/report/http_fetch.h"

#include <boost/asio/io_context.hpp>
#include <optional>

#include "src/http/client.h"

namespace radishwing::report {

result<http::client_response> Fetch(const std::string& address,
                                    http::client_request request) {
  boost::asio::io_context io(1);
  http::client_options options;
  options.address = address;
  auto client = http::client::Make(io, options);
  if (!Ok(client)) return Error(client);
  std::optional<result<http::client_response>> outcome;
  Value(client)->Send(std::move(request), [&](auto arrived) {
    outcome = std::move(arrived);
    io.stop();
  });
  io.run();
  if (!outcome) return failure{failure_kind::kTimeout, "no answer"};
  return std::move(*outcome);
}

}  // namespace radishwing::report
