#include "src/ctl/show_command.h"

#include "src/ctl/json_field.h"

namespace radishwing::ctl {

exit_code ShowList(const command_context& context, const std::string& target,
                   std::string_view field,
                   std::span<const table_column> columns) {
  result<boost::json::value> reply = context.client->Fetch({"GET", target, ""});
  if (!Ok(reply)) return Fail(context, Error(reply));
  if (context.format == output_format::kJson) {
    PrintJson(*context.out, Value(reply));
  } else {
    PrintTable(*context.out, ListField(Value(reply), field), columns);
  }
  return exit_code::kDone;
}

exit_code ShowObject(const command_context& context,
                     const std::string& target) {
  result<boost::json::value> reply = context.client->Fetch({"GET", target, ""});
  if (!Ok(reply)) return Fail(context, Error(reply));
  if (context.format == output_format::kJson) {
    PrintJson(*context.out, Value(reply));
  } else {
    PrintMembers(*context.out, Value(reply));
  }
  return exit_code::kDone;
}

}  // namespace radishwing::ctl
