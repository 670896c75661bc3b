#include "src/ctl/host_commands.h"

#include <boost/json/serialize.hpp>

#include "src/ctl/json_field.h"
#include "src/ctl/show_command.h"

namespace radishwing::ctl {
namespace {

constexpr millis kPollIntervalMs = 250;

// A host record shows the change id of the last order of an operator, besides
// that of its last change.
bool HasChange(const boost::json::value& host, const std::string& change_id) {
  return TextField(host, "operator_change_id") == change_id ||
         TextField(host, "change_id") == change_id;
}

exit_code ReportOrder(const command_context& context, const std::string& host,
                      const std::string& order,
                      const boost::json::value& record) {
  if (context.format == output_format::kJson) {
    PrintJson(*context.out, record);
  } else {
    *context.out << "host " << host << ": " << order << " accepted\n";
    PrintMembers(*context.out, record);
  }
  return exit_code::kDone;
}

// Reads the host until it shows the change. The order is never sent again.
exit_code ResolveLostOrder(const command_context& context,
                           const std::string& host, const std::string& order,
                           const std::string& change_id) {
  const millis deadline = context.now.Now() + context.lost_answer_wait_ms;
  for (;;) {
    result<boost::json::value> record =
        context.client->Fetch({"GET", "/v1/hosts/" + host, ""});
    if (Ok(record) && HasChange(Value(record), change_id)) {
      return ReportOrder(context, host, order, Value(record));
    }
    if (context.now.Now() >= deadline) break;
    context.sleep(kPollIntervalMs);
  }
  return Fail(context, {failure_kind::kTimeout,
                        "the answer was lost and host " + host +
                            " does not show change " + change_id +
                            "; whether " + order + " was accepted is unknown"});
}

exit_code SendOrder(const command_context& context, const std::string& host,
                    const std::string& order, boost::json::object body) {
  if (context.mode == run_mode::kDryRun) {
    const exit_code shown = ShowHost(context, host);
    if (shown == exit_code::kDone && context.format == output_format::kTable) {
      *context.out << "dry run: " << order << " was not sent\n";
    }
    return shown;
  }
  const std::string change_id = context.make_change_id();
  body["change_id"] = change_id;
  result<boost::json::value> reply =
      context.client->Fetch({"POST", "/v1/hosts/" + host + "/" + order,
                             boost::json::serialize(body)});
  if (Ok(reply)) return ReportOrder(context, host, order, Value(reply));
  if (Error(reply).kind != failure_kind::kTimeout) {
    return Fail(context, Error(reply));
  }
  return ResolveLostOrder(context, host, order, change_id);
}

}  // namespace

exit_code ShowPools(const command_context& context) {
  static constexpr table_column kColumns[] = {
      {"POOL", "pool"},           {"HOSTS", "hosts"},
      {"AVAILABLE", "available"}, {"FLOOR", "floor_hosts"},
      {"TARGET", "target_hosts"}, {"UNAVAILABLE", "unavailable"},
      {"SPARE", "spare"},         {"RACK IN WAVE", "rack_in_wave"}};
  return ShowList(context, "/v1/pools", "pools", kColumns);
}

exit_code ShowPool(const command_context& context, const std::string& pool) {
  return ShowObject(context, "/v1/pools/" + pool);
}

exit_code ShowHosts(const command_context& context) {
  static constexpr table_column kColumns[] = {
      {"HOST", "host"},   {"POOL", "pool"},   {"DATA CENTRE", "data_centre"},
      {"RACK", "rack"},   {"STATE", "state"}, {"IN FLIGHT", "in_flight"},
      {"EPOCH", "epoch"}, {"NOTE", "note"}};
  return ShowList(context, "/v1/hosts", "hosts", kColumns);
}

exit_code ShowHost(const command_context& context, const std::string& host) {
  return ShowObject(context, "/v1/hosts/" + host);
}

exit_code OrderHost(const command_context& context, const std::string& host,
                    const std::string& order) {
  return SendOrder(context, host, order, {});
}

exit_code MoveHost(const command_context& context, const std::string& host,
                   const std::string& pool) {
  return SendOrder(context, host, "move", {{"pool", pool}});
}

}  // namespace radishwing::ctl
