#include "src/ctl/app.h"

#include <CLI/CLI.hpp>
#include <sstream>

#include "src/ctl/app_options.h"
#include "src/ctl/command_tree.h"
#include "src/ctl/completion.h"
#include "src/settings/schema_checker.h"
#include "src/settings/secret_source.h"
#include "src/settings/text_file.h"

namespace radishwing::ctl {
namespace {

constexpr const char* kControlVariable = "RADISHWING_CONTROL";
constexpr const char* kSecretVariable = "RADISHWING_OPERATOR_SECRET";

result<settings::secret_text> ReadOperatorSecret(const app_options& options,
                                                 const app_hooks& hooks) {
  std::optional<std::string> text;
  if (options.secret_file.empty()) {
    text = hooks.environment(kSecretVariable);
  } else {
    result<std::string> read =
        settings::ReadTextFile(options.secret_file, settings::kLongestSecret);
    if (!Ok(read)) return Error(read);
    text = Value(std::move(read));
  }
  if (!text) {
    return failure{failure_kind::kInvalid,
                   std::string("no operator secret: set ") + kSecretVariable +
                       " or give --operator-secret-file"};
  }
  text->erase(text->find_last_not_of(" \t\r\n") + 1);
  return settings::secret_text(std::move(*text));
}

result<std::vector<std::string>> ReadControls(const app_options& options,
                                              const app_hooks& hooks) {
  std::vector<std::string> controls = options.controls;
  if (controls.empty()) {
    std::istringstream list(
        hooks.environment(kControlVariable).value_or("127.0.0.1:7500"));
    for (std::string item; std::getline(list, item, ',');) {
      controls.push_back(item);
    }
  }
  for (const std::string& control : controls) {
    if (settings::IsAddress(control)) continue;
    return failure{failure_kind::kInvalid,
                   "\"" + control + "\" is no \"ip:port\" of a control"};
  }
  return controls;
}

std::string AuthorOf(const app_options& options, const app_hooks& hooks) {
  if (!options.author.empty()) return options.author;
  return hooks.environment("USER").value_or("unknown");
}

command_context MakeContext(const app_options& options,
                            const app_hooks& hooks) {
  command_context context;
  context.out = hooks.out;
  context.err = hooks.err;
  context.format =
      options.output == "json" ? output_format::kJson : output_format::kTable;
  context.mode = options.dry_run ? run_mode::kDryRun : run_mode::kApply;
  context.author = AuthorOf(options, hooks);
  context.make_change_id = hooks.make_change_id;
  context.sleep = hooks.sleep;
  context.now = hooks.now;
  context.confirm_wait_ms = options.wait_seconds * 1000;
  return context;
}

exit_code RunCommand(const app_options& options, const app_hooks& hooks,
                     const selected_command& command) {
  command_context context = MakeContext(options, hooks);
  if (command.needs == command_needs::kNothing) return command.run(context);
  result<std::vector<std::string>> controls = ReadControls(options, hooks);
  if (!Ok(controls)) return Fail(context, Error(controls));
  result<settings::secret_text> secret = ReadOperatorSecret(options, hooks);
  if (!Ok(secret)) return Fail(context, Error(secret));
  operator_client client(Value(controls), Value(secret), hooks.transport);
  context.client = &client;
  return command.run(context);
}

}  // namespace

int RunApp(const std::vector<std::string>& arguments, const app_hooks& hooks) {
  CLI::App app("Operates a radishwing fleet.", "radishwingctl");
  app_options options;
  selected_command command;
  AddGlobalOptions(app, options);
  AddCommands(app, options, command);
  app.footer(
      "Exit codes: 0 done, 1 differences (settings diff), 2 wrong usage or "
      "state, 3 findings,\n4 not found, 5 conflict, 6 applied but not "
      "confirmed by all, 7 outcome unknown,\n8 no control reachable or not "
      "possible now, 9 denied, 10 unexpected answer.\nEnvironment: "
      "RADISHWING_CONTROL (ip:port, separated by commas), "
      "RADISHWING_OPERATOR_SECRET.");
  std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
  try {
    app.parse(reversed);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error, *hooks.out, *hooks.err);
    return static_cast<int>(code == 0 ? exit_code::kDone : exit_code::kUsage);
  }
  return static_cast<int>(RunCommand(options, hooks, command));
}

}  // namespace radishwing::ctl
