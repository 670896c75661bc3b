#include "src/entry/entry_process.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <thread>

#include "src/base/log.h"
#include "src/base/thread_name.h"
#include "src/entry/entry_server.h"
#include "src/http/server.h"
#include "src/metrics/metric_registry.h"

namespace radishwing::entry {
namespace {

// Lets the link send the returned tokens and the last report.
constexpr std::chrono::milliseconds kFlush(300);

rpc::entry_link_options LinkOptions(const settings::process_settings& settings,
                                    std::uint64_t incarnation) {
  rpc::entry_link_options options;
  options.host = settings.host;
  options.data_centre = settings.data_centre;
  options.incarnation = incarnation;
  options.control_address = settings.control_address;
  options.fleet_secret = settings.fleet_secret.Reveal();
  return options;
}

}  // namespace

struct entry_process::impl {
  impl(boost::asio::io_context& c, metrics::process_labels labels)
      : context(c), registry(labels), flush(c) {}

  ~impl() {
    if (server) server->Halt();
    link.reset();
    metrics_context.stop();
    if (metrics_thread.joinable()) metrics_thread.join();
  }

  std::optional<failure> StartServer(entry_options options);
  std::optional<failure> StartLink(rpc::entry_link_options options);
  std::optional<failure> StartMetrics(const std::string& address);
  void HandleMetrics(const http::server_request& request,
                     const http::server::responder& respond);

  boost::asio::io_context& context;
  metrics::metric_registry registry;
  boost::asio::steady_timer flush;
  std::unique_ptr<entry_server> server;
  /// Completions of the link run in the server, so it is destroyed first.
  std::unique_ptr<rpc::entry_link> link;
  boost::asio::io_context metrics_context{1};
  std::unique_ptr<http::server> metrics_server;
  std::thread metrics_thread;
};

std::optional<failure> entry_process::impl::StartServer(entry_options options) {
  auto made = entry_server::Make(std::move(options), PortOf(link));
  if (!Ok(made)) return Error(made);
  server = std::move(Value(made));
  return std::nullopt;
}

std::optional<failure> entry_process::impl::StartLink(
    rpc::entry_link_options options) {
  rpc::entry_link_hooks hooks;
  hooks.on_snapshot = [this](rpc::snapshot snapshot) {
    server->OnSnapshot(std::move(snapshot));
  };
  hooks.on_connected = [this](bool connected) {
    server->OnConnected(connected);
  };
  hooks.make_report = [this] { return server->MakeReport(); };
  hooks.on_cancel = [this](std::string_view id, std::string_view team) {
    server->OnCancel(id, team);
  };
  auto made = rpc::entry_link::Make(std::move(options), std::move(hooks));
  if (!Ok(made)) return Error(made);
  link = std::move(Value(made));
  server->Start();
  return std::nullopt;
}

std::optional<failure> entry_process::impl::StartMetrics(
    const std::string& address) {
  if (address.empty()) return std::nullopt;
  http::server_options options;
  options.address = address;
  options.max_connections = 64;
  auto made = http::server::Make(
      metrics_context, options,
      [this](http::server_request request, http::server::responder respond) {
        HandleMetrics(request, respond);
      });
  if (!Ok(made)) return Error(made);
  metrics_server = std::move(Value(made));
  metrics_thread = std::thread([this] {
    NameThread("metrics");
    auto guard = boost::asio::make_work_guard(metrics_context);
    metrics_context.run();
  });
  return std::nullopt;
}

void entry_process::impl::HandleMetrics(
    const http::server_request& request,
    const http::server::responder& respond) {
  http::server_response response;
  response.content_type = "text/plain; version=0.0.4";
  if (request.target.path == "/metrics") {
    response.body = registry.Serialize();
  } else if (request.target.path == "/healthz") {
    response.body = "ok\n";
  } else if (request.target.path == "/readyz") {
    bool ready = server->Ready();
    response.status = ready ? 200 : 503;
    response.body = ready ? "ready\n" : "not ready\n";
  } else {
    response.status = 404;
  }
  respond(std::move(response));
}

entry_process::entry_process(std::unique_ptr<impl> impl)
    : impl_(std::move(impl)) {}

entry_process::~entry_process() = default;

result<std::unique_ptr<entry_process>> entry_process::Make(
    boost::asio::io_context& context,
    const settings::process_settings& settings) {
  auto made = std::make_unique<impl>(
      context, metrics::process_labels{"radishwing-entry", settings.host,
                                       settings.data_centre});
  auto incarnation = static_cast<std::uint64_t>(clock::Wall().Now());
  entry_options options;
  options.host = settings.host;
  options.data_centre = settings.data_centre;
  options.caller_address = settings.caller_address;
  options.balancer_delay_ms = settings.balancer_delay_ms;
  options.incarnation = incarnation;
  options.seed = incarnation;
  options.registry = &made->registry;
  if (auto failed = made->StartServer(std::move(options))) return *failed;
  if (auto failed = made->StartLink(LinkOptions(settings, incarnation))) {
    return *failed;
  }
  if (auto failed = made->StartMetrics(settings.metrics_address)) {
    return *failed;
  }
  return std::unique_ptr<entry_process>(new entry_process(std::move(made)));
}

std::string entry_process::CallerAddress() const {
  return impl_->server->CallerAddress();
}

std::string entry_process::MetricsAddress() const {
  return impl_->metrics_server ? impl_->metrics_server->Address() : "";
}

void entry_process::Stop() {
  LogInfo("entry", "stopping, " + DescribeInFlight());
  impl_->server->Stop([p = impl_.get()] {
    boost::asio::post(p->context, [p] {
      p->flush.expires_after(kFlush);
      p->flush.async_wait(
          [p](const boost::system::error_code&) { p->context.stop(); });
    });
  });
}

std::string entry_process::DescribeInFlight() {
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  for (const rpc::team_usage& usage : impl_->server->MakeReport().usage) {
    queued += usage.queued;
    running += usage.running;
  }
  return "queued=" + std::to_string(queued) +
         " running=" + std::to_string(running);
}

}  // namespace radishwing::entry
