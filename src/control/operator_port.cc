#include "src/control/operator_port.h"

#include <boost/asio/post.hpp>

#include "src/base/sha256.h"
#include "src/control/operator_router.h"
#include "src/http/server.h"

namespace radishwing::control {
namespace {

constexpr std::size_t kMaxConnections = 64;
// A settings text is at most 999,000 bytes as a JSON string; the rest of the
// body is a few hundred bytes.
constexpr std::uint64_t kMaxBodyBytes = 1'050'000;
constexpr std::string_view kScheme = "Bearer ";

}  // namespace

struct operator_port::impl {
  impl(boost::asio::io_context& io, settings::secret_text secret,
       operator_hooks hooks)
      : io(io),
        secret_hash(Sha256Hex(secret.Reveal())),
        router(std::move(hooks)) {}

  // Hashes are compared, so that the time does not depend on the length of
  // the secret either.
  bool Authenticated(const http::server_request& request) const {
    const std::string_view header = request.Header("Authorization");
    if (!header.starts_with(kScheme)) return false;
    return EqualConstantTime(Sha256Hex(header.substr(kScheme.size())),
                             secret_hash);
  }

  void Handle(const http::server_request& request,
              http::server::responder respond) {
    if (!Authenticated(request)) {
      return respond(http::ErrorResponse(
          401, "unauthenticated", "the operator secret is missing or wrong"));
    }
    router.Handle(request, [&io = io, respond](http::server_response response) {
      // Hooks complete on any thread; the server's belongs to `io`.
      boost::asio::post(
          io, [respond, response = std::move(response)] { respond(response); });
    });
  }

  boost::asio::io_context& io;
  std::string secret_hash;
  operator_router router;
  std::unique_ptr<http::server> server;
};

operator_port::operator_port(std::shared_ptr<impl> impl)
    : impl_(std::move(impl)) {}

operator_port::~operator_port() = default;

result<std::unique_ptr<operator_port>> operator_port::Make(
    boost::asio::io_context& io, const std::string& address,
    settings::secret_text secret, operator_hooks hooks) {
  auto made = std::make_shared<impl>(io, std::move(secret), std::move(hooks));
  http::server_options options;
  options.address = address;
  options.max_connections = kMaxConnections;
  options.max_body_bytes = kMaxBodyBytes;
  auto server = http::server::Make(
      io, options,
      [self = made.get()](const http::server_request& request,
                          http::server::responder respond) {
        self->Handle(request, std::move(respond));
      });
  if (!Ok(server)) return Error(server);
  made->server = Value(std::move(server));
  return std::unique_ptr<operator_port>(new operator_port(std::move(made)));
}

std::string operator_port::Address() const { return impl_->server->Address(); }

void operator_port::Drain() { impl_->server->Drain(); }

}  // namespace radishwing::control
