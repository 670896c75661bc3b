#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <string>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/entry/entry_process.h"
#include "src/programs/daemon_main.h"
#include "src/settings/process_settings.h"

namespace {

using radishwing::entry::entry_process;

// Each caller and runner connection takes a descriptor.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

/// The first signal starts a graceful stop, the second ends the process.
void AwaitSignals(boost::asio::signal_set& signals, entry_process& process,
                  bool first) {
  signals.async_wait([&signals, &process, first](
                         const boost::system::error_code& error, int) {
    if (error) return;
    if (!first) {
      radishwing::LogWarning(
          "entry", "second signal, terminating, " + process.DescribeInFlight());
      std::_Exit(1);
    }
    process.Stop();
    AwaitSignals(signals, process, false);
  });
}

int Run(const radishwing::settings::process_settings& settings) {
  radishwing::ConfigureLogs("radishwing-entry", settings.minimum_level);
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  auto process = entry_process::Make(context, settings);
  if (!radishwing::Ok(process)) {
    radishwing::LogError("entry", radishwing::Error(process).message);
    return 1;
  }
  AwaitSignals(signals, *radishwing::Value(process), true);
  std::cout << "radishwing-entry: ready, caller="
            << radishwing::Value(process)->CallerAddress()
            << " metrics=" << radishwing::Value(process)->MetricsAddress()
            << std::endl;
  context.run();
  radishwing::LogInfo("entry", "stopped");
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  RaiseDescriptorLimit();
  return radishwing::programs::DaemonMain(
      argc, argv, "radishwing entry: serves callers over HTTP",
      radishwing::settings::daemon_kind::kEntry, Run);
}
