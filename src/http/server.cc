#include "src/http/server.h"

#include <chrono>
#include <utility>
#include <vector>

#include "src/http/address.h"
#include "src/http/server_impl.h"
#include "src/http/server_session.h"

namespace radishwing::http {
namespace {

// Delay before accepting again after an error, for example when the process has
// no file descriptors left.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

}  // namespace

server::server(std::shared_ptr<impl> impl) : impl_(std::move(impl)) {}

server::~server() { impl_->Stop(); }

result<std::unique_ptr<server>> server::Make(boost::asio::io_context& io,
                                             server_options options,
                                             handler handler) {
  const auto endpoint = ParseAddress(options.address);
  if (!Ok(endpoint)) return Error(endpoint);
  auto state = std::make_shared<impl>(io, options, std::move(handler));
  boost::system::error_code error;
  auto& acceptor = state->acceptor;
  acceptor.open(Value(endpoint).protocol(), error);
  if (!error) {
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  }
  if (!error) acceptor.bind(Value(endpoint), error);
  if (!error) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return failure{
        failure_kind::kUnavailable,
        "cannot listen on " + options.address + ": " + error.message()};
  }
  state->AcceptNextConnection();
  return std::unique_ptr<server>(new server(std::move(state)));
}

std::string server::Address() const {
  boost::system::error_code error;
  return FormatAddress(impl_->acceptor.local_endpoint(error));
}

void server::Drain() {
  impl_->draining = true;
  boost::system::error_code ignored;
  impl_->acceptor.close(ignored);
  const std::vector<std::shared_ptr<server_session>> sessions(
      impl_->sessions.begin(), impl_->sessions.end());
  for (const auto& session : sessions) session->CloseWhenIdle();
}

std::size_t server::RequestsInFlight() const {
  return impl_->requests_in_flight;
}

std::size_t server::OpenConnections() const { return impl_->sessions.size(); }

std::uint64_t server::LastConnectionId() const {
  return impl_->last_connection_id;
}

void server::impl::AcceptNextConnection() {
  acceptor.async_accept(
      [self = shared_from_this()](boost::system::error_code error,
                                  boost::asio::ip::tcp::socket socket) {
        if (self->stopped || self->draining) return;
        if (!error) {
          self->StartSession(std::move(socket));
          self->AcceptNextConnection();
          return;
        }
        self->accept_retry_timer.expires_after(kAcceptRetryDelay);
        self->accept_retry_timer.async_wait([self](boost::system::error_code) {
          if (!self->stopped && !self->draining) self->AcceptNextConnection();
        });
      });
}

void server::impl::StartSession(boost::asio::ip::tcp::socket socket) {
  if (sessions.size() >= options.max_connections) return;
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  auto session = std::make_shared<server_session>(
      weak_from_this(), options, std::move(socket), ++last_connection_id);
  sessions.insert(session);
  session->Start();
}

void server::impl::Stop() {
  stopped = true;
  boost::system::error_code ignored;
  acceptor.close(ignored);
  accept_retry_timer.cancel();
  for (const auto& session : std::exchange(sessions, {})) session->Close();
}

}  // namespace radishwing::http
