#include "src/ctl/http_transport.h"

#include <boost/asio/io_context.hpp>
#include <utility>

#include "src/http/client.h"
#include "src/http/send_and_wait.h"

namespace radishwing::ctl {
namespace {

result<raw_reply> CallOnce(const std::string& address,
                           const operator_request& request,
                           const settings::secret_text& secret,
                           millis deadline_ms) {
  boost::asio::io_context io(1);
  http::client_options options;
  options.address = address;
  auto client = http::client::Make(io, options);
  if (!Ok(client)) return Error(client);
  http::client_request sent;
  sent.method = boost::beast::http::string_to_verb(request.method);
  sent.target = request.target;
  sent.headers = {{"Authorization", "Bearer " + secret.Reveal()}};
  if (!request.body.empty()) {
    sent.headers.push_back({"Content-Type", "application/json"});
  }
  sent.body = request.body;
  sent.deadline_ms = deadline_ms;
  auto outcome = http::SendAndWait(io, *Value(client), std::move(sent));
  if (Ok(outcome)) {
    http::client_response& response = Value(outcome);
    return raw_reply{static_cast<int>(response.status),
                     std::move(response.body)};
  }
  failure error = Error(outcome);
  error.message = address + ": " + error.message;
  // A malformed answer leaves the effect unknown as well.
  if (error.kind != failure_kind::kUnavailable) {
    error.kind = failure_kind::kTimeout;
  }
  return error;
}

}  // namespace

operator_transport MakeHttpTransport(millis deadline_ms) {
  return
      [deadline_ms](const std::string& address, const operator_request& request,
                    const settings::secret_text& secret) {
        return CallOnce(address, request, secret, deadline_ms);
      };
}

}  // namespace radishwing::ctl
