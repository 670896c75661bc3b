#include "src/ctl/command_context.h"

#include <boost/json/serialize.hpp>

#include "src/base/result.h"
#include "src/settings/finding_json.h"

namespace radishwing::ctl {
namespace {

void PrintIndented(std::ostream& out, const boost::json::value& value,
                   std::size_t depth) {
  const std::string indent(depth * 2 + 2, ' ');
  const auto separate = [&](bool& first) {
    out << (first ? "\n" : ",\n") << indent;
    first = false;
  };
  bool first = true;
  if (value.is_object() && !value.get_object().empty()) {
    out << '{';
    for (const auto& member : value.get_object()) {
      separate(first);
      out << boost::json::serialize(member.key()) << ": ";
      PrintIndented(out, member.value(), depth + 1);
    }
    out << '\n' << std::string(depth * 2, ' ') << '}';
  } else if (value.is_array() && !value.get_array().empty()) {
    out << '[';
    for (const boost::json::value& item : value.get_array()) {
      separate(first);
      PrintIndented(out, item, depth + 1);
    }
    out << '\n' << std::string(depth * 2, ' ') << ']';
  } else {
    out << boost::json::serialize(value);
  }
}

}  // namespace

exit_code Fail(const command_context& context, const failure& error) {
  if (context.format == output_format::kJson) {
    PrintJson(*context.out, {{"error", FailureKindName(error.kind)},
                             {"message", error.message}});
  } else {
    *context.err << "radishwingctl: " << Printable(error.message) << '\n';
  }
  return ExitCodeOf(error.kind);
}

exit_code FailWithFindings(const command_context& context,
                           const std::vector<finding>& findings) {
  if (context.format == output_format::kJson) {
    PrintJson(*context.out, {{"findings", settings::FindingsToJson(findings)}});
    return exit_code::kFindings;
  }
  for (const finding& f : findings) {
    *context.err << Printable(FormatFinding(f)) << '\n';
  }
  *context.err << findings.size()
               << (findings.size() == 1 ? " finding\n" : " findings\n");
  return exit_code::kFindings;
}

void PrintJson(std::ostream& out, const boost::json::value& value) {
  PrintIndented(out, value, 0);
  out << '\n';
}

std::string Printable(std::string_view text) {
  std::string printable;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto c = static_cast<unsigned char>(text[i]);
    const auto next =
        static_cast<unsigned char>(i + 1 < text.size() ? text[i + 1] : 0);
    const bool c0 = (c < 0x20 && c != '\n' && c != '\t') || c == 0x7f;
    // U+0080 to U+009F, among them another introducer of control sequences.
    const bool c1 = c == 0xc2 && next >= 0x80 && next < 0xa0;
    printable += c0 || c1 ? '?' : text[i];
    if (c1) ++i;
  }
  return printable;
}

}  // namespace radishwing::ctl
