#include "src/report/http_fetch.h"

#include <boost/asio/io_context.hpp>
#include <utility>

#include "src/http/client.h"
#include "src/http/send_and_wait.h"

namespace radishwing::report {

result<http::client_response> SendHttpRequest(const std::string& address,
                                              http::client_request request) {
  boost::asio::io_context io(1);
  http::client_options options;
  options.address = address;
  auto client = http::client::Make(io, options);
  if (!Ok(client)) return Error(client);
  return http::SendAndWait(io, *Value(client), std::move(request));
}

}  // namespace radishwing::report
