#include <signal.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <string>

#include "platform/node_settings_codec.h"
#include "src/base/line_streambuf.h"
#include "src/base/log.h"
#include "src/node/contained_run.h"
#include "src/node/node_server.h"

namespace {

using namespace radishwing;

platform::decoded_node_settings ReadSettings(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return platform::DecodeNodeSettings(path, text.str());
}

/// Runs a node until SIGTERM or SIGINT; SIGHUP reloads the settings file at
/// `path`. Returns the exit code.
int RunNode(const std::string& path, const fleet::node_settings& settings) {
  boost::asio::io_context io(1);
  auto created = node::node_server::Make(io, settings, [&io] { io.stop(); });
  if (!Ok(created)) {
    LogError("node", "cannot start, error=" + Error(created).message);
    return 1;
  }
  const auto& node = Value(created);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  std::function<void(boost::system::error_code, int)> on_signal =
      [&](boost::system::error_code error, int signal_number) {
        if (error) return;
        if (signal_number == SIGHUP) {
          const auto changed = ReadSettings(path);
          if (changed.findings.empty()) {
            node->Reload(changed.settings);
          } else {
            LogWarning("node", "changed settings refused, " +
                                   FormatFinding(changed.findings.front()));
          }
        } else {
          node->Stop();
        }
        signals.async_wait(on_signal);
      };
  signals.async_wait(on_signal);
  node::RunContained(
      io, [&](std::string_view error) { node->RecoverFromError(error); });
  LogInfo("node", "exited");
  return 0;
}

}  // namespace

// Runs a node until SIGTERM or SIGINT. With --check, only validates the
// settings file, prints its errors and exits with 1 if there are any.
int main(int argc, char** argv) {
  // SIGHUP requests a reload of the settings file, but terminates the process
  // by default. Ignoring it until its handler is installed keeps a request
  // during startup from stopping the node (tools/soak, seed 16).
  signal(SIGHUP, SIG_IGN);
  const bool check_only = argc > 1 && std::string_view(argv[1]) == "--check";
  const char* path_from_environment = std::getenv(platform::kSettingsVariable);
  const std::string path = argc > (check_only ? 2 : 1)
                               ? argv[check_only ? 2 : 1]
                           : path_from_environment ? path_from_environment
                                                   : "";
  if (path.empty()) {
    std::cerr << "no settings file: set " << platform::kSettingsVariable
              << " or name one\n";
    return 2;
  }
  const auto decoded = ReadSettings(path);
  for (const finding& problem : decoded.findings) {
    std::cerr << FormatFinding(problem) << '\n';
  }
  if (check_only || !decoded.findings.empty()) {
    return decoded.findings.empty() ? 0 : 1;
  }
  signal(SIGPIPE, SIG_IGN);
  // Drops log lines instead of blocking the node when the reader of standard
  // output stalls.
  static line_streambuf log_lines(STDOUT_FILENO);
  std::cout.rdbuf(&log_lines);
  ConfigureLogs("radishwing-node", log_level::kInfo);
  return RunNode(path, decoded.settings);
}
