#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "tools/platform_fake/hosts_file.h"
#include "tools/platform_fake/platform_fake.h"

namespace radishwing::platform_fake {
namespace {

int Run(fake_options options) {
  boost::asio::io_context io{1};
  auto made = platform_fake::Make(io, std::move(options));
  if (!Ok(made)) {
    std::cerr << "radishwing-platform-fake: " << Error(made).message << '\n';
    return 1;
  }
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
  std::cout << "radishwing-platform-fake: ready, platform="
            << Value(made)->Address() << std::endl;
  io.run();
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app{"Stand-in of the platform for tests and the demo"};
  fake_options options;
  std::string hosts_file;
  app.add_option("--address", options.address, "ip:port; port 0: a free one");
  app.add_option("--hosts-file", hosts_file, "JSON description of the hosts")
      ->check(CLI::ExistingFile);
  app.add_option("--lag-ms", options.lag_ms, "age of the live list");
  app.add_option("--reads-per-s", options.reads_per_s, "0: no limit");
  app.add_option("--writes-per-s", options.writes_per_s, "0: no limit");
  app.add_option("--reboot-ms", options.reboot_ms, "duration of a reboot");
  app.add_option("--task-ms", options.task_ms, "default run time of a task");
  CLI11_PARSE(app, argc, argv);
  if (!hosts_file.empty()) {
    std::ostringstream text;
    text << std::ifstream(hosts_file).rdbuf();
    auto hosts = ParseHosts(text.str());
    if (!Ok(hosts)) {
      std::cerr << "radishwing-platform-fake: " << hosts_file << ": "
                << Error(hosts).message << '\n';
      return 1;
    }
    options.hosts = std::move(Value(hosts));
  }
  return Run(std::move(options));
}

}  // namespace
}  // namespace radishwing::platform_fake

int main(int argc, char** argv) {
  return radishwing::platform_fake::Main(argc, argv);
}
