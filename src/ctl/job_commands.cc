#include "src/ctl/job_commands.h"

#include "src/ctl/json_field.h"
#include "src/ctl/show_command.h"

namespace radishwing::ctl {
namespace {

bool HasEnded(const std::string& state) {
  return state == "cancelled" || state == "cancelling" || state == "finished" ||
         state == "failed" || state == "stopped";
}

}  // namespace

exit_code ShowJobs(const command_context& context) {
  static constexpr table_column kColumns[] = {
      {"JOB", "id"},      {"SERVICE", "service"}, {"TEAM", "team"},
      {"STATE", "state"}, {"HOST", "host"},       {"NOTE", "note"}};
  return ShowList(context, "/v1/jobs", "jobs", kColumns);
}

exit_code ShowJob(const command_context& context, const std::string& job) {
  return ShowObject(context, "/v1/jobs/" + job);
}

exit_code CancelJob(const command_context& context, const std::string& job) {
  if (context.mode == run_mode::kDryRun) {
    const exit_code shown = ShowJob(context, job);
    if (shown == exit_code::kDone && context.format == output_format::kTable) {
      *context.out << "dry run: the job was not cancelled\n";
    }
    return shown;
  }
  result<boost::json::value> reply =
      context.client->Fetch({"DELETE", "/v1/jobs/" + job, ""});
  if (!Ok(reply) && Error(reply).kind == failure_kind::kTimeout) {
    result<boost::json::value> now =
        context.client->Fetch({"GET", "/v1/jobs/" + job, ""});
    if (Ok(now) && HasEnded(TextField(Value(now), "state"))) {
      reply = std::move(now);
    }
  }
  if (!Ok(reply)) return Fail(context, Error(reply));
  if (context.format == output_format::kJson) {
    PrintJson(*context.out, Value(reply));
  } else {
    PrintMembers(*context.out, Value(reply));
  }
  return exit_code::kDone;
}

}  // namespace radishwing::ctl
