#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "tools/runner_fake/runner_fake.h"

int main(int argc, char** argv) {
  using radishwing::fake::runner_fake;
  radishwing::fake::runner_options options;
  CLI::App app{"Fake runner for tests, demos and benchmarks"};
  app.add_option("--address", options.address, "ip:port to listen on");
  app.add_option("--service", options.service, "service it belongs to");
  app.add_option("--host", options.host, "host it claims to run on");
  app.add_option("--id", options.id, "its unique id");
  app.add_option("--platform", options.platform_address,
                 "ip:port of the platform, to announce itself");
  app.add_option("--slots", options.slots, "requests it runs at once");
  app.add_option("--connections", options.connections,
                 "connections it accepts at once");
  app.add_option("--record-file", options.record_file,
                 "file for one line per start and completion");
  CLI11_PARSE(app, argc, argv);
  auto runner = runner_fake::Make(options);
  if (!radishwing::Ok(runner)) {
    std::cerr << "radishwing-runner-fake: " << radishwing::Error(runner).message
              << "\n";
    return 1;
  }
  std::cout << "radishwing-runner-fake: ready, address="
            << radishwing::Value(runner)->Address() << std::endl;
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([](boost::system::error_code, int) {});
  context.run();
  return 0;
}
