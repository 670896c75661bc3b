#include "src/ctl/app.h"

#include <CLI/CLI.hpp>

#include "src/ctl/config_command.h"
#include "src/ctl/explain_command.h"
#include "src/ctl/fleet_commands.h"
#include "src/ctl/settings_commands.h"

namespace radishwing::ctl {
namespace {

using command = std::function<exit_code(const command_context&)>;

/// Values of the command-line options and arguments of all commands.
struct app_options {
  std::string store_address;
  std::string job_id;
  std::vector<std::string> files;  ///< Paths of log files or settings files.
  config_check_options config;
};

/// Adds a command that reads the store. If the parsed command line contains
/// this command, `selected` is set to `implementation`.
void AddStoreCommand(CLI::App& app, app_options& options, command& selected,
                     const std::string& name, const std::string& description,
                     command implementation) {
  CLI::App* subcommand = app.add_subcommand(name, description);
  subcommand
      ->add_option("--store", options.store_address,
                   "Platform store, as ip:port")
      ->envname("RADISHWING_STORE")
      ->required();
  if (name == "job") {
    subcommand->add_option("id", options.job_id, "Identifier of the job")
        ->required();
  }
  subcommand->callback([&selected, implementation = std::move(implementation)] {
    selected = implementation;
  });
}

void AddStoreCommands(CLI::App& app, app_options& options, command& selected) {
  AddStoreCommand(app, options, selected, "status", "Leader and nodes",
                  ShowStatus);
  AddStoreCommand(app, options, selected, "pools", "Pools and their runners",
                  ShowPools);
  AddStoreCommand(app, options, selected, "teams", "Teams and their limits",
                  ShowTeams);
  AddStoreCommand(app, options, selected, "waves", "Maintenance waves",
                  ShowWaves);
  AddStoreCommand(app, options, selected, "jobs", "Job counts by state",
                  ShowJobs);
  AddStoreCommand(app, options, selected, "job", "Stored data of one job",
                  [&options](const command_context& context) {
                    return ShowJob(context, options.job_id);
                  });
}

/// Adds the commands that read only local files or no file.
void AddFileCommands(CLI::App& app, app_options& options, command& selected) {
  CLI::App* explain =
      app.add_subcommand("explain", "Log lines that explain one job");
  explain->add_option("id", options.job_id, "Identifier of the job")
      ->required();
  explain->add_option("log", options.files, "Log files of all nodes")
      ->required();
  explain->callback([&] {
    selected = [&options](const command_context& context) {
      return ExplainJob(context, options.job_id, options.files);
    };
  });
  CLI::App* settings =
      app.add_subcommand("settings", "Check and document settings");
  settings->require_subcommand(1);
  CLI::App* check = settings->add_subcommand("check", "Check settings files");
  check->add_option("file", options.files, "Files to check")->required();
  check->callback([&] {
    selected = [&options](const command_context& context) {
      return CheckSettings(context, options.files);
    };
  });
  settings->add_subcommand("schema", "Reference page of all settings")
      ->callback([&] { selected = ShowSchema; });
}

/// Adds the commands on the operator's configuration.
void AddConfigCommands(CLI::App& app, app_options& options, command& selected) {
  CLI::App* config =
      app.add_subcommand("config", "Check a configuration before it is sent");
  config->require_subcommand(1);
  CLI::App* check = config->add_subcommand(
      "check", "Errors, entries that never match, changes");
  check->add_option("file", options.config.file, "Configuration to be sent")
      ->required();
  check->add_option("--against", options.config.current_file,
                    "Configuration in force; else the store's");
  check
      ->add_option("--store", options.store_address,
                   "Platform store, as ip:port")
      ->envname("RADISHWING_STORE");
  check->add_flag("--json", options.config.as_json, "Print a JSON object");
  check->callback([&] {
    selected = [&options](const command_context& context) {
      return CheckConfigFile(context, options.config);
    };
  });
}

}  // namespace

int RunApp(const std::vector<std::string>& arguments,
           const app_environment& environment) {
  CLI::App app("Inspects a radishwing fleet.", "radishwingctl");
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 done, 2 wrong usage, 3 findings, 4 not found, 8 store or "
      "file not\nreadable, 10 unexpected response. Environment: "
      "RADISHWING_STORE.");
  app_options options;
  command selected;
  AddStoreCommands(app, options, selected);
  AddFileCommands(app, options, selected);
  AddConfigCommands(app, options, selected);
  // CLI11 takes the arguments in reverse order.
  std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
  try {
    app.parse(reversed);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error, *environment.out, *environment.err);
    return static_cast<int>(code == 0 ? exit_code::kSuccess
                                      : exit_code::kUsageError);
  }
  command_context context;
  context.out = environment.out;
  context.err = environment.err;
  if (!options.store_address.empty()) {
    auto opened = environment.open_store(options.store_address);
    if (!Ok(opened))
      return static_cast<int>(ReportFailure(context, Error(opened)));
    context.store = std::move(Value(opened));
  }
  return static_cast<int>(selected(context));
}

}  // namespace radishwing::ctl
