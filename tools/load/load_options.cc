#include "tools/load/load_options.h"

#include <CLI/CLI.hpp>

namespace radishwing::tools {

int ParseLoadOptions(int argc, char** argv, load_options& options) {
  CLI::App app("HTTP load generator for radishwing's demo and benches");
  std::vector<std::string> keys;
  app.add_option("--target", options.targets, "ip:port, repeatable")
      ->required();
  app.add_option("--service", options.services, "service name, repeatable");
  app.add_option("--key", keys, "team=key, repeatable");
  app.add_option("--path", options.path, "path and query after the service");
  app.add_option("--class", options.work_class, "class of the requests");
  app.add_option("--id-prefix", options.id_prefix, "start of identifiers");
  app.add_option("--records", options.record_file, "file for one line each");
  app.add_option("--connections", options.connections)
      ->check(CLI::Range(1, 20000));
  app.add_option("--idle-connections", options.idle_connections,
                 "connections to open, use once and hold")
      ->check(CLI::Range(0, 20000));
  app.add_option("--requests", options.requests, "total number of requests");
  app.add_option("--seconds", options.seconds, "length of the run");
  app.add_option("--rate", options.rate, "requests per second, 0: closed loop");
  app.add_option("--idempotent-ratio", options.idempotent_ratio)
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--body-bytes", options.body_bytes);
  app.add_option("--timeout-ms", options.timeout_ms);
  app.add_option("--seed", options.seed);
  app.add_flag("--reconnect", options.reconnect);
  app.add_flag("!--no-identifiers", options.send_identifiers);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error);
  }
  if (options.services.empty()) options.services.emplace_back();
  for (const std::string& text : keys) {
    const auto equals = text.find('=');
    options.keys.push_back(
        {text.substr(0, equals),
         equals == std::string::npos ? "" : text.substr(equals + 1)});
  }
  return -1;
}

}  // namespace radishwing::tools
