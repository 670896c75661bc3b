#include "src/entry/entry_process.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>

#include "src/base/log.h"
#include "src/entry/entry_server.h"
#include "src/metrics/metric_registry.h"
#include "src/metrics/metrics_port.h"

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
    metrics_port.reset();
    if (server) server->Halt();
    link.reset();
  }

  std::optional<failure> StartServer(entry_options options);
  std::optional<failure> StartLink(rpc::entry_link_options options);
  std::optional<failure> StartMetrics(const std::string& address);

  boost::asio::io_context& context;
  metrics::metric_registry registry;
  boost::asio::steady_timer flush;
  std::unique_ptr<entry_server> server;
  /// Completions of the link run in the server, so it is destroyed first.
  std::unique_ptr<rpc::entry_link> link;
  std::unique_ptr<metrics::metrics_port> metrics_port;
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
  hooks.on_contact = [this](millis sent_at) { server->OnContact(sent_at); };
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
  metrics::metrics_hooks hooks;
  hooks.ready = [this] { return server->Ready(); };
  hooks.healthy = [this] { return server->Healthy(); };
  auto made = metrics::metrics_port::Make(address, registry, std::move(hooks));
  if (!Ok(made)) return Error(made);
  metrics_port = std::move(Value(made));
  return std::nullopt;
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
  return impl_->metrics_port ? impl_->metrics_port->Address() : "";
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
