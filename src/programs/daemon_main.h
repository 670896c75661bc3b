#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "src/base/finding.h"
#include "src/settings/process_settings.h"

namespace radishwing::programs {

/// The command line that both daemons share: reads `--settings`, reports every
/// finding and exits with 2 if there are any, ends there with `--check`, and
/// otherwise returns what `run` returns.
inline int DaemonMain(
    int argc, char** argv, const std::string& description,
    settings::daemon_kind daemon,
    const std::function<int(const settings::process_settings&)>& run) {
  std::string file;
  bool check = false;
  CLI::App app{description};
  app.add_option("--settings", file, "process settings file")->required();
  app.add_flag("--check", check, "check the settings file and exit");
  CLI11_PARSE(app, argc, argv);
  auto loaded = settings::LoadProcessSettings(file, daemon);
  if (const auto* findings = std::get_if<std::vector<finding>>(&loaded)) {
    for (const finding& f : *findings) std::cerr << FormatFinding(f) << "\n";
    return 2;
  }
  return check ? 0 : run(std::get<0>(loaded));
}

}  // namespace radishwing::programs
