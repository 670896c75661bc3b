#include "src/ctl/command_context.h"

namespace radishwing::ctl {

exit_code Fail(const command_context& context, const failure& error) {
  *context.err << "radishwingctl: " << Printable(error.message) << '\n';
  return ExitCodeOf(error.kind);
}

std::string Printable(std::string_view text) {
  std::string shown(text);
  for (char& c : shown) {
    const bool control = (c >= 0 && c < ' ') || c == '\x7f';
    if (control && c != '\n' && c != '\t') c = '?';
  }
  return shown;
}

}  // namespace radishwing::ctl
