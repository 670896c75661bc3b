#include "src/ctl/settings_commands.h"

#include "src/base/finding.h"
#include "src/settings/fleet_parser.h"
#include "src/settings/schema_page.h"
#include "src/settings/text_file.h"

namespace radishwing::ctl {

exit_code CheckSettings(const command_context& context,
                        const std::vector<std::string>& files) {
  bool all_valid = true;
  for (const std::string& file : files) {
    auto text = settings::ReadTextFile(file, settings::kMaxTextBytes);
    if (!Ok(text)) return ReportFailure(context, Error(text));
    const auto parsed = settings::ParseFleetSettings(file, Value(text), 0);
    if (parsed.index() == 0) continue;
    all_valid = false;
    for (const finding& problem : std::get<1>(parsed)) {
      *context.err << SanitizeForTerminal(FormatFinding(problem)) << '\n';
    }
  }
  if (!all_valid) return exit_code::kFindings;
  *context.out << "no findings\n";
  return exit_code::kSuccess;
}

exit_code ShowSchema(const command_context& context) {
  *context.out << settings::RenderSchemaPage();
  return exit_code::kSuccess;
}

}  // namespace radishwing::ctl
