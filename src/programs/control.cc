#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/control/control_process.h"
#include "src/control/operator_port.h"
#include "src/control/operator_wiring.h"
#include "src/control/platform_thread.h"
#include "src/metrics/metrics_port.h"
#include "src/programs/daemon_main.h"
#include "src/settings/process_settings.h"

namespace {

using radishwing::control::control_options;
using radishwing::control::control_process;
using radishwing::control::platform_thread;

control_options OptionsFrom(
    const radishwing::settings::process_settings& settings,
    radishwing::metrics::metric_registry& registry) {
  control_options options;
  options.host = settings.host;
  options.data_centre = settings.data_centre;
  options.incarnation =
      static_cast<std::uint64_t>(radishwing::clock::Wall().Now());
  options.rpc_address = settings.control_address;
  options.fleet_secret = settings.fleet_secret.Reveal();
  options.peers = settings.peers;
  options.registry = &registry;
  return options;
}

/// The first signal starts a graceful stop, the second ends the process.
void AwaitSignals(boost::asio::io_context& context,
                  boost::asio::signal_set& signals, control_process& process,
                  bool first) {
  signals.async_wait([&, first](const boost::system::error_code& error, int) {
    if (error) return;
    if (!first) {
      radishwing::LogWarning("control",
                             "second signal, terminating, the graceful stop "
                             "was interrupted");
      std::_Exit(1);
    }
    radishwing::LogInfo("control", "stopping");
    process.Stop([&context] {
      boost::asio::post(context, [&context] { context.stop(); });
    });
    AwaitSignals(context, signals, process, false);
  });
}

/// The metrics port; null without an address. Readiness is the gauge that the
/// control sets with each heartbeat and when it stops.
radishwing::result<std::unique_ptr<radishwing::metrics::metrics_port>>
StartMetrics(const std::string& address,
             radishwing::metrics::metric_registry& registry) {
  using port = std::unique_ptr<radishwing::metrics::metrics_port>;
  if (address.empty()) return port();
  radishwing::metrics::metrics_hooks hooks;
  hooks.ready = [&registry] {
    return registry.Gauge(radishwing::metrics::metric::kReady).Value() > 0;
  };
  return radishwing::metrics::metrics_port::Make(address, registry,
                                                 std::move(hooks));
}

int Run(const radishwing::settings::process_settings& settings) {
  radishwing::ConfigureLogs("radishwing-control", settings.minimum_level);
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  auto platform = platform_thread::Make(settings.platform_address);
  if (!radishwing::Ok(platform)) {
    radishwing::LogError("control", radishwing::Error(platform).message);
    return 1;
  }
  radishwing::metrics::metric_registry registry(
      {"radishwing-control", settings.host, settings.data_centre});
  auto process = control_process::Make(OptionsFrom(settings, registry),
                                       radishwing::Value(platform)->Seam());
  if (!radishwing::Ok(process)) {
    radishwing::LogError("control", radishwing::Error(process).message);
    return 1;
  }
  auto port = StartMetrics(settings.metrics_address, registry);
  if (!radishwing::Ok(port)) {
    radishwing::LogError("control", radishwing::Error(port).message);
    return 1;
  }
  AwaitSignals(context, signals, *radishwing::Value(process), true);
  auto operators = radishwing::control::operator_port::Make(
      context, settings.operator_address, settings.operator_secret,
      radishwing::control::MakeOperatorHooks(*radishwing::Value(process)));
  if (!radishwing::Ok(operators)) {
    radishwing::LogError("control", radishwing::Error(operators).message);
    return 1;
  }
  std::cout << "radishwing-control: ready, control="
            << radishwing::Value(process)->RpcAddress()
            << " operator=" << radishwing::Value(operators)->Address();
  if (radishwing::Value(port)) {
    std::cout << " metrics=" << radishwing::Value(port)->Address();
  }
  std::cout << std::endl;
  context.run();
  radishwing::LogInfo("control", "stopped");
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  return radishwing::programs::DaemonMain(
      argc, argv, "radishwing control: decides for the entry beside it",
      radishwing::settings::daemon_kind::kControl, Run);
}
