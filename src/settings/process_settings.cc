#include "src/settings/process_settings.h"

#include <cstdlib>

#include "src/settings/field_reader.h"
#include "src/settings/schema_checker.h"
#include "src/settings/secret_source.h"
#include "src/settings/text_file.h"

namespace radishwing::settings {
namespace {

const secret_source kFleetSecret{"fleet_secret_file",
                                 "RADISHWING_FLEET_SECRET"};
const secret_source kOperatorSecret{"operator_secret_file",
                                    "RADISHWING_OPERATOR_SECRET"};

log_level ParseLevel(const std::string& name) {
  if (name == "debug") return log_level::kDebug;
  if (name == "warning") return log_level::kWarning;
  if (name == "error") return log_level::kError;
  return log_level::kInfo;
}

// An entry connects to its control, so port 0 has no meaning there.
void CheckControlPort(const source_tree& tree, daemon_kind daemon,
                      std::vector<finding>& findings) {
  const node_member* member = tree.root.Find("control_address");
  if (daemon != daemon_kind::kEntry || !member) return;
  const std::string& address = member->value.text;
  if (address.size() < 2 || !address.ends_with(":0")) return;
  findings.push_back(tree.FindingAt(member->value.range.begin,
                                    "control_address", "port 0",
                                    "port of the control on this host"));
}

process_settings ReadFields(const source_tree& tree, daemon_kind daemon) {
  const field_reader reader(&tree.root, ProcessSchema(daemon), "");
  process_settings settings;
  settings.host = reader.Text("host");
  settings.data_centre = reader.Text("data_centre");
  settings.control_address = reader.Text("control_address");
  settings.metrics_address = reader.Text("metrics_address");
  settings.minimum_level = ParseLevel(reader.Text("log_level"));
  settings.balancer_delay_ms = reader.Count("balancer_delay_ms");
  settings.caller_address = reader.Text("caller_address");
  settings.operator_address = reader.Text("operator_address");
  settings.platform_address = reader.Text("platform_address");
  settings.peers = reader.Texts("peers");
  return settings;
}

}  // namespace

environment SystemEnvironment() {
  return [](const std::string& name) -> std::optional<std::string> {
    const char* value = std::getenv(name.c_str());
    if (value == nullptr) return std::nullopt;
    return value;
  };
}

checked<process_settings> ParseProcessSettings(const std::string& file,
                                               std::string_view text,
                                               daemon_kind daemon,
                                               const environment& env) {
  checked<source_tree> parsed = ParseTree(file, text);
  if (parsed.index() == 1) return std::get<1>(std::move(parsed));
  const source_tree& tree = std::get<0>(parsed);
  std::vector<finding> findings =
      schema_checker(tree, ProcessSchema(daemon)).Check();
  CheckControlPort(tree, daemon, findings);
  process_settings settings = ReadFields(tree, daemon);
  settings.fleet_secret = ReadSecret(tree, kFleetSecret, env, findings);
  if (daemon == daemon_kind::kControl) {
    settings.operator_secret = ReadSecret(tree, kOperatorSecret, env, findings);
  }
  if (!findings.empty()) return findings;
  return settings;
}

checked<process_settings> LoadProcessSettings(const std::string& file,
                                              daemon_kind daemon,
                                              const environment& env) {
  result<std::string> text = ReadTextFile(file, kMaxTextBytes);
  if (!Ok(text)) {
    return std::vector{finding{file, 0, 0, "", Error(text).message,
                               "a readable file of process settings"}};
  }
  return ParseProcessSettings(file, Value(text), daemon, env);
}

}  // namespace radishwing::settings
