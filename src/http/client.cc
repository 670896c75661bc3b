#include "src/http/client.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "src/http/address.h"
#include "src/http/client_impl.h"

namespace radishwing::http {
namespace {

// Longest duration of a request with a progress timeout, so that a server that
// trickles its response does not hold the request forever.
constexpr millis kMaxTransferMs = 30000;
// Multiple of its progress timeout that a request waits longer for its first
// byte while the link is congested.
constexpr int kMaxCongestedExtensions = 2;

}  // namespace

client::client(std::shared_ptr<impl> impl) : impl_(std::move(impl)) {}

client::~client() { impl_->Stop(); }

result<std::unique_ptr<client>> client::Make(boost::asio::io_context& io,
                                             client_options options) {
  auto endpoint = ParseAddress(options.address);
  if (!Ok(endpoint)) return Error(endpoint);
  return std::unique_ptr<client>(new client(
      std::make_shared<impl>(io, std::move(options), Value(endpoint))));
}

void client::Send(client_request request, completion completion) {
  auto exchange = std::make_shared<client_exchange>(impl_->io);
  const auto now = std::chrono::steady_clock::now();
  exchange->deadline =
      now + std::chrono::milliseconds(request.total_timeout_ms);
  exchange->congested_deadline =
      exchange->deadline +
      kMaxCongestedExtensions *
          std::chrono::milliseconds(request.progress_timeout_ms);
  exchange->last_deadline = now + std::chrono::milliseconds(kMaxTransferMs);
  exchange->request_message = {request.method, request.target, 11};
  exchange->request_message.set(boost::beast::http::field::host,
                                impl_->options.address);
  for (const header_field& field : request.headers) {
    exchange->request_message.set(field.name, field.value);
  }
  exchange->request_message.body() = std::move(request.body);
  exchange->request_message.prepare_payload();
  exchange->request = std::move(request);
  exchange->completion = std::move(completion);
  boost::asio::post(impl_->io, [self = impl_, exchange] {
    if (!self->stopped) self->Enqueue(exchange);
  });
}

std::uint64_t client::EstablishedConnections() const {
  return impl_->established_connections;
}

std::size_t client::OpenConnections() const { return impl_->open_connections; }

}  // namespace radishwing::http
