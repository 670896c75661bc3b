#include "src/ctl/command_context.h"

namespace radishwing::ctl {

exit_code ReportFailure(const command_context& context, const failure& error) {
  *context.err << "radishwingctl: " << SanitizeForTerminal(error.message)
               << '\n';
  return ExitCodeFor(error.kind);
}

std::string SanitizeForTerminal(std::string_view text) {
  std::string shown(text);
  for (char& c : shown) {
    const bool control = (c >= 0 && c < ' ') || c == '\x7f';
    if (control && c != '\n' && c != '\t') c = '?';
  }
  return shown;
}

}  // namespace radishwing::ctl
