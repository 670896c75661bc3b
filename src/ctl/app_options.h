#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// Values that the command line parser fills.
struct app_options {
  std::vector<std::string> controls;
  std::string secret_file;
  std::string output = "table";
  std::string author;
  bool dry_run = false;
  std::int64_t wait_seconds = 30;

  std::vector<std::string> files;
  std::string file;
  std::uint64_t revision = 0;
  std::optional<std::uint64_t> base_revision;
  std::string team;
  double share = 0;
  std::uint32_t upper_limit = 0;
  std::string key_id;
  std::string pool;
  std::string host;
  std::string wave;
  std::vector<std::string> pools;
  std::string kind = "kernel";
  std::string job;
  std::string request;
};

/// The command that the line names; set by the parser, run afterwards.
using app_command = std::function<exit_code(const command_context&)>;

}  // namespace radishwing::ctl
