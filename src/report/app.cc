#include "src/report/app.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <fstream>
#include <thread>
#include <utility>

#include "src/report/collector.h"
#include "src/report/html_page.h"
#include "src/report/http_fetch.h"
#include "src/report/text_page.h"
#include "src/settings/fleet_parser.h"
#include "src/settings/text_file.h"

namespace radishwing::report {
namespace {

constexpr int kExitOk = 0;
// Wrong arguments, or a file that cannot be read or written.
constexpr int kExitUsage = 2;
constexpr int kExitInvalidSettings = 3;
constexpr int kExitPartial = 4;      // Some nodes or records could not be read.
constexpr int kExitNothingRead = 8;  // No node's metrics could be read.

struct report_options {
  std::string settings_file;
  std::vector<std::string> addresses;  // Metrics addresses of the nodes.
  // "ip:port" of the platform whose store keeps the report's records. If empty,
  // the records are kept in memory.
  std::string platform_address;
  std::string html_file;  // HTML page to write; empty to write none.
  // Time between two reports; 0 makes a single report.
  std::int64_t interval_seconds = 0;
  // Number of reports; 0 repeats forever. Ignored if interval_seconds is 0.
  std::int64_t report_count = 1;
};

result<std::string> FetchMetrics(const std::string& address) {
  http::client_request request;
  request.target = "/metrics";
  request.idempotent = true;
  auto response = SendHttpRequest(address, std::move(request));
  if (!Ok(response)) return Error(response);
  if (Value(response).status != 200) {
    return failure{failure_kind::kUnavailable,
                   "/metrics returned HTTP status " +
                       std::to_string(Value(response).status)};
  }
  return std::move(Value(response).body);
}

void AddOptions(CLI::App& app, report_options& options) {
  app.add_option("--settings", options.settings_file,
                 "File with the settings of the fleet")
      ->required();
  app.add_option("--daemon", options.addresses,
                 "Metrics address of a node, \"ip:port\"; repeatable")
      ->required();
  app.add_option("--platform", options.platform_address,
                 "Address of the platform, \"ip:port\"; its store keeps the "
                 "windows across restarts");
  app.add_option("--html", options.html_file, "HTML file to write");
  app.add_option("--every-seconds", options.interval_seconds,
                 "Interval at which the report is repeated, in seconds")
      ->check(CLI::Range(1, 3600));
  app.add_option("--runs", options.report_count,
                 "Number of reports with --every-seconds; 0 repeats forever");
}

// Returns false if the file could not be written.
bool WriteFile(const std::string& file, const std::string& text) {
  std::ofstream stream(file, std::ios::binary | std::ios::trunc);
  stream << text;
  stream.close();
  return stream.good();
}

// Collects one report, prints it to `out` and writes the HTML page. Returns the
// exit code.
int PrintReport(const report_options& options, const record_store& store,
                std::ostream& out, std::ostream& err) {
  result<std::string> text =
      settings::ReadTextFile(options.settings_file, settings::kMaxTextBytes);
  if (!Ok(text)) {
    err << "radishwing-report: " << Error(text).message << '\n';
    return kExitUsage;
  }
  const auto parsed =
      settings::ParseFleetSettings(options.settings_file, Value(text), 0);
  if (parsed.index() == 1) {
    for (const finding& f : std::get<1>(parsed))
      err << FormatFinding(f) << '\n';
    return kExitInvalidSettings;
  }
  const fleet_report report =
      CollectReport(std::get<0>(parsed), options.addresses, FetchMetrics, store,
                    clock::Wall().Now());
  out << RenderText(report) << std::flush;
  if (!options.html_file.empty() &&
      !WriteFile(options.html_file, RenderHtml(report))) {
    err << "radishwing-report: cannot write " << options.html_file << '\n';
    return kExitUsage;
  }
  if (report.read_errors.empty()) return kExitOk;
  return report.successful_scrapes > 0 ? kExitPartial : kExitNothingRead;
}

}  // namespace

int RunReport(const std::vector<std::string>& arguments, std::ostream& out,
              std::ostream& err) {
  CLI::App app(
      "Reports how the services of a radishwing fleet use their error "
      "budgets.",
      "radishwing-report");
  report_options options;
  AddOptions(app, options);
  app.footer(
      "Without --platform the windows are empty at each start of the "
      "program.\nExit codes: 0 done, 2 wrong usage or unusable file, 3 "
      "invalid settings, 4 partial, 8 nothing could be read.");
  std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
  try {
    app.parse(reversed);
  } catch (const CLI::ParseError& error) {
    return app.exit(error, out, err) == 0 ? kExitOk : kExitUsage;
  }
  record_store store = MakeMemoryStore();
  if (!options.platform_address.empty()) {
    auto opened = MakePlatformStore(options.platform_address);
    if (!Ok(opened)) {
      err << "radishwing-report: " << Error(opened).message << '\n';
      return kExitUsage;
    }
    store = std::move(Value(opened));
  }
  int code = kExitOk;
  for (std::int64_t report_index = 0;; ++report_index) {
    code = PrintReport(options, store, out, err);
    const bool last =
        options.interval_seconds == 0 ||
        (options.report_count > 0 && report_index + 1 >= options.report_count);
    if (last) return code;
    std::this_thread::sleep_for(std::chrono::seconds(options.interval_seconds));
  }
}

}  // namespace radishwing::report
