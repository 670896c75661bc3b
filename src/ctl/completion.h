#pragma once

#include <CLI/App.hpp>
#include <string>

namespace radishwing::ctl {

/// A bash completion script for the commands and options of `app`. Load it
/// with `source <(radishwingctl completion bash)`.
std::string BashCompletion(const CLI::App& app);

}  // namespace radishwing::ctl
