#include "src/ctl/status_commands.h"

#include "src/ctl/json_field.h"
#include "src/ctl/show_command.h"

namespace radishwing::ctl {

exit_code ShowStatus(const command_context& context) {
  static constexpr table_column kColumns[] = {
      {"HOST", "host"},           {"DATA CENTRE", "data_centre"},
      {"STATE", "state"},         {"REVISION", "revision"},
      {"TABLE", "table_version"}, {"SILENT MS", "silent_ms"}};
  result<boost::json::value> reply =
      context.client->Fetch({"GET", "/v1/status", ""});
  if (!Ok(reply)) return Fail(context, Error(reply));
  boost::json::value& status = Value(reply);
  if (context.format == output_format::kJson || !status.is_object()) {
    PrintJson(*context.out, status);
    return exit_code::kDone;
  }
  const boost::json::array members = ListField(status, "members");
  status.get_object().erase("members");
  PrintMembers(*context.out, status);
  *context.out << '\n';
  PrintTable(*context.out, members, kColumns);
  return exit_code::kDone;
}

// Names are 1 to 64 characters that need no escape in a query.
exit_code Explain(const command_context& context, const std::string& kind,
                  const std::string& name) {
  result<boost::json::value> reply =
      context.client->Fetch({"GET", "/v1/explain?" + kind + "=" + name, ""});
  if (!Ok(reply)) return Fail(context, Error(reply));
  if (context.format == output_format::kJson) {
    PrintJson(*context.out, Value(reply));
    return exit_code::kDone;
  }
  const boost::json::array reasons = ListField(Value(reply), "reasons");
  if (reasons.empty()) PrintMembers(*context.out, Value(reply));
  for (const boost::json::value& reason : reasons) {
    if (!reason.is_string()) continue;
    *context.out << Printable(std::string(reason.get_string())) << '\n';
  }
  return exit_code::kDone;
}

}  // namespace radishwing::ctl
