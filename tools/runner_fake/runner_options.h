#pragma once

#include <cstdint>
#include <string>

namespace radishwing::fake {

/// How a fake runner listens and announces itself.
struct runner_options {
  std::string address = "127.0.0.1:0";  ///< "ip:port"; port 0 picks one.
  std::string service = "service";
  std::string host = "host-1";
  std::string id = "runner-1";
  std::string platform_address;  ///< "ip:port"; empty: no announcement.
  std::uint16_t slots = 8;
  std::uint16_t connections = 64;
  /// Oldest records are dropped above this, to bound memory in benchmarks.
  std::size_t records_max = 500000;
  /// Gets one line per start and completion, written through at once, so that
  /// the records outlive a killed runner. Empty: no file.
  std::string record_file;
};

}  // namespace radishwing::fake
