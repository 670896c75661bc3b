#include "src/ctl/config_command.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>

#include "platform/config_codec.h"
#include "platform/runner_codec.h"
#include "platform/store_keys.h"
#include "src/fleet/config_check.h"
#include "src/fleet/config_diff.h"
#include "src/settings/json_document.h"
#include "src/settings/text_file.h"

namespace radishwing::ctl {
namespace json = boost::json;
namespace {

/// A configuration that was read from a file.
struct config_file {
  settings::json_document document;
  fleet::fleet_config config;
};

/// Result of checking one configuration.
struct config_report {
  std::vector<finding> errors;
  std::vector<finding> warnings;
  bool compared = false;  ///< The configuration in force was known.
  std::vector<fleet::config_change> changes;
};

using read_outcome = std::variant<config_file, std::vector<finding>, failure>;

read_outcome ReadConfigFile(const std::string& file) {
  auto text = settings::ReadTextFile(file, settings::kMaxTextBytes);
  if (!Ok(text)) return Error(text);
  auto document = settings::ParseJsonDocument(file, Value(text));
  if (document.index() == 1) return std::get<1>(std::move(document));
  auto config = platform::DecodeConfig(Value(text));
  if (!Ok(config)) {
    return std::vector<finding>{
        {.file = file,
         .path = "",
         .found = "not a configuration",
         .allowed = "a JSON object without comments, with a version"}};
  }
  return config_file{std::get<0>(std::move(document)),
                     std::move(Value(config))};
}

/// Returns the place of a problem's entry in the file.
finding Locate(const settings::json_document& document,
               const fleet::config_problem& problem) {
  const std::string_view section = platform::ConfigSectionName(problem.section);
  const settings::json_member* member = document.root.Find(section);
  const std::string path =
      std::string(section) + "[" + std::to_string(problem.index) + "]";
  if (!member || problem.index >= member->value.elements.size()) {
    return {.file = document.file,
            .path = path,
            .found = problem.text,
            .allowed = ""};
  }
  return document.MakeFindingAt(
      member->value.elements[problem.index].range.begin, path, problem.text,
      "");
}

result<fleet::pool_capacities> ReadCapacities(const command_context& context) {
  fleet::pool_capacities capacities;
  if (!context.store.list) return capacities;
  auto items = context.store.list(std::string(platform::kRunnerKeyPrefix));
  if (!Ok(items)) return Error(items);
  for (const store::store_item& item : Value(items)) {
    const auto runner = platform::DecodeRunnerRecord(
        item.key.substr(platform::kRunnerKeyPrefix.size()), item.value);
    if (runner) capacities[runner->pool] += runner->capacity;
  }
  return capacities;
}

/// Returns the configuration in force; no value if none is known.
std::variant<std::optional<fleet::fleet_config>, std::vector<finding>, failure>
ReadCurrentConfig(const command_context& context,
                  const config_check_options& options) {
  if (!options.current_file.empty()) {
    read_outcome read = ReadConfigFile(options.current_file);
    if (auto* problems = std::get_if<std::vector<finding>>(&read)) {
      return std::move(*problems);
    }
    if (auto* error = std::get_if<failure>(&read)) return *error;
    return std::optional(std::get<config_file>(std::move(read)).config);
  }
  if (!context.store.get) return std::nullopt;
  auto item = context.store.get(std::string(platform::kConfigKey));
  if (!Ok(item)) return Error(item);
  if (Value(item).revision == 0) return std::nullopt;
  auto config = platform::DecodeConfig(Value(item).value);
  if (!Ok(config)) return Error(config);
  return std::optional(std::move(Value(config)));
}

void CompareWithCurrent(const fleet::fleet_config& current,
                        const config_file& next, config_report& report) {
  report.compared = true;
  report.changes = fleet::CompareConfigs(current, next.config);
  if (next.config.version <= current.version) {
    report.errors.push_back(
        {.file = next.document.file,
         .path = "version",
         .found = std::to_string(next.config.version) + " is not above " +
                  std::to_string(current.version) + ", which is in force",
         .allowed = ""});
  }
}

json::array FindingsToJson(const std::vector<finding>& findings) {
  json::array rows;
  for (const finding& problem : findings) {
    rows.push_back(json::object{{"path", problem.path},
                                {"line", problem.line},
                                {"column", problem.column},
                                {"text", problem.found}});
  }
  return rows;
}

void PrintJson(const command_context& context, const config_report& report) {
  json::array changes;
  for (const fleet::config_change& change : report.changes) {
    changes.push_back(json::object{{"subject", change.subject},
                                   {"change", change.change},
                                   {"effect", change.effect}});
  }
  json::object answer{{"errors", FindingsToJson(report.errors)},
                      {"warnings", FindingsToJson(report.warnings)}};
  if (report.compared) answer["changes"] = std::move(changes);
  *context.out << SanitizeForTerminal(json::serialize(answer)) << '\n';
}

void PrintText(const command_context& context, const config_report& report) {
  for (const finding& problem : report.errors) {
    *context.err << "error: " << SanitizeForTerminal(FormatFinding(problem))
                 << '\n';
  }
  for (const finding& problem : report.warnings) {
    *context.err << "warning: " << SanitizeForTerminal(FormatFinding(problem))
                 << '\n';
  }
  for (const fleet::config_change& change : report.changes) {
    std::string line = change.subject + ": " + change.change;
    if (!change.effect.empty()) line += "; " + change.effect;
    *context.out << SanitizeForTerminal(line) << '\n';
  }
  if (report.compared && report.changes.empty()) {
    *context.out << "no difference from the configuration in force\n";
  }
  if (report.errors.empty()) *context.out << "no errors\n";
}

exit_code Print(const command_context& context,
                const config_check_options& options,
                const config_report& report) {
  options.as_json ? PrintJson(context, report) : PrintText(context, report);
  return report.errors.empty() ? exit_code::kSuccess : exit_code::kFindings;
}

}  // namespace

exit_code CheckConfigFile(const command_context& context,
                          const config_check_options& options) {
  config_report report;
  const read_outcome read = ReadConfigFile(options.file);
  if (const auto* error = std::get_if<failure>(&read)) {
    return ReportFailure(context, *error);
  }
  if (const auto* problems = std::get_if<std::vector<finding>>(&read)) {
    report.errors = *problems;
    return Print(context, options, report);
  }
  const config_file& next = std::get<config_file>(read);
  const auto capacities = ReadCapacities(context);
  if (!Ok(capacities)) return ReportFailure(context, Error(capacities));
  for (const fleet::config_problem& problem :
       fleet::CheckConfig(next.config, Value(capacities))) {
    (problem.is_error ? report.errors : report.warnings)
        .push_back(Locate(next.document, problem));
  }
  const auto current = ReadCurrentConfig(context, options);
  if (const auto* error = std::get_if<failure>(&current)) {
    return ReportFailure(context, *error);
  }
  if (const auto* problems = std::get_if<std::vector<finding>>(&current)) {
    report.errors.insert(report.errors.end(), problems->begin(),
                         problems->end());
  } else if (const auto& config = std::get<0>(current)) {
    CompareWithCurrent(*config, next, report);
  }
  return Print(context, options, report);
}

}  // namespace radishwing::ctl
