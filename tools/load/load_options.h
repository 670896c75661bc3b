#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace radishwing::tools {

/// A team and the key that its requests present.
struct team_credential {
  std::string team;
  std::string key;
};

/// Command line of the load generator.
struct load_options {
  std::vector<std::string> targets;   ///< "ip:port", used in turn.
  std::vector<std::string> services;  ///< An empty name sends the bare path.
  std::vector<team_credential> keys;
  std::string path = "/work";
  std::string work_class;  ///< `Radishwing-Class`; empty sends none.
  std::string id_prefix = "load";
  std::string record_file;  ///< One line per request; empty writes none.
  int connections = 16;
  int idle_connections = 0;  ///< Opened first, with one request each, and held.
  std::uint64_t requests = 0;  ///< 0: until `seconds` have passed.
  double seconds = 0;
  double rate =
      0;  ///< Requests per second over all connections; 0: closed loop.
  double idempotent_ratio = 1;
  std::size_t body_bytes = 0;
  std::int64_t timeout_ms = 30000;
  std::uint64_t seed = 1;
  bool send_identifiers = true;
  bool reconnect = false;  ///< A new connection for each request.
};

/// Parses the command line into `options`. Returns -1 to go on, or the exit
/// code with which to end.
int ParseLoadOptions(int argc, char** argv, load_options& options);

}  // namespace radishwing::tools
