#include "src/metrics/metrics_port.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

#include "src/base/thread_name.h"
#include "src/http/server.h"

namespace radishwing::metrics {
namespace {

constexpr std::size_t kMaxConnections = 32;
constexpr std::uint64_t kMaxBodyBytes = 1024;

http::server_response TextResponse(unsigned status, std::string body) {
  http::server_response response;
  response.status = status;
  response.body = std::move(body);
  response.content_type = "text/plain; version=0.0.4; charset=utf-8";
  return response;
}

http::server_response ProbeResponse(const std::function<bool()>& probe) {
  const bool good = !probe || probe();
  return TextResponse(good ? 200 : 503, good ? "ok\n" : "no\n");
}

}  // namespace

struct metrics_port::impl {
  impl(metric_registry& registry, metrics_hooks hooks)
      : registry(registry), hooks(std::move(hooks)) {}

  http::server_response Answer(const http::server_request& request) {
    if (request.method != boost::beast::http::verb::get) {
      return http::ErrorResponse(405, "method", "only GET is supported");
    }
    if (request.target.path == "/healthz") return ProbeResponse(hooks.healthy);
    if (request.target.path == "/readyz") return ProbeResponse(hooks.ready);
    if (request.target.path != "/metrics") {
      return http::ErrorResponse(404, "not_found",
                                 "only /metrics, /healthz and /readyz exist");
    }
    if (hooks.before_scrape) hooks.before_scrape();
    return TextResponse(200, registry.Serialize());
  }

  metric_registry& registry;
  metrics_hooks hooks;
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      io.get_executor()};
  std::unique_ptr<http::server> server;
  std::string address;
  std::thread thread;
};

metrics_port::metrics_port(std::unique_ptr<impl> impl)
    : impl_(std::move(impl)) {}

result<std::unique_ptr<metrics_port>> metrics_port::Make(
    const std::string& address, metric_registry& registry,
    metrics_hooks hooks) {
  auto made = std::make_unique<impl>(registry, std::move(hooks));
  impl* self = made.get();
  http::server_options options;
  options.address = address;
  options.max_connections = kMaxConnections;
  options.max_body_bytes = kMaxBodyBytes;
  auto server =
      http::server::Make(self->io, options,
                         [self](const http::server_request& request,
                                const http::server::responder& respond) {
                           respond(self->Answer(request));
                         });
  if (!Ok(server)) return Error(server);
  self->server = Value(std::move(server));
  self->address = self->server->Address();
  self->thread = std::thread([self] {
    NameThread("metrics");
    self->io.run();
    self->server.reset();
  });
  return std::unique_ptr<metrics_port>(new metrics_port(std::move(made)));
}

metrics_port::~metrics_port() {
  impl_->io.stop();
  impl_->thread.join();
}

std::string metrics_port::Address() const { return impl_->address; }

}  // namespace radishwing::metrics
