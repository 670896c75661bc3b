#include "src/ctl/settings_applier.h"

#include <algorithm>
#include <boost/json/serialize.hpp>

#include "src/ctl/json_field.h"
#include "src/ctl/text_diff.h"
#include "src/ctl/text_table.h"
#include "src/settings/finding_json.h"
#include "src/settings/fleet_parser.h"

namespace radishwing::ctl {
namespace {

constexpr millis kPollIntervalMs = 250;

settings_record RecordFromJson(const boost::json::value& value) {
  return settings_record{CountField(value, "revision"),
                         TextField(value, "change_id"),
                         TextField(value, "author"), TextField(value, "text")};
}

result<settings_record> FetchRecord(operator_client& client,
                                    const std::string& target) {
  result<boost::json::value> reply = client.Fetch({"GET", target, ""});
  if (!Ok(reply)) return Error(reply);
  if (!FindField(Value(reply), "revision")) {
    return failure{failure_kind::kInternal,
                   "the answer to " + target + " has no revision"};
  }
  return RecordFromJson(Value(reply));
}

std::string RevisionLabel(std::uint64_t revision) {
  return "revision " + std::to_string(revision);
}

}  // namespace

result<settings_record> FetchSettings(operator_client& client) {
  result<settings_record> record = FetchRecord(client, "/v1/settings");
  if (!Ok(record) && Error(record).kind == failure_kind::kNotFound) {
    return settings_record();
  }
  return record;
}

result<settings_record> FetchRevision(operator_client& client,
                                      std::uint64_t revision) {
  return FetchRecord(
      client, "/v1/settings/history?revision=" + std::to_string(revision));
}

exit_code settings_applier::Apply(const settings_change& change) {
  const auto parsed = settings::ParseFleetSettings(change.file, change.text, 0);
  if (parsed.index() == 1) {
    return FailWithFindings(context_, std::get<1>(parsed));
  }
  if (context_.mode == run_mode::kDryRun) return DryRun(change);
  change_id_ = context_.make_change_id();
  return Send(change);
}

exit_code settings_applier::DryRun(const settings_change& change) {
  result<settings_record> now = FetchSettings(*context_.client);
  if (!Ok(now)) return Fail(context_, Error(now));
  if (Value(now).revision != change.base_revision) {
    return ShowConflict(change, Value(now));
  }
  const std::string diff =
      UnifiedDiff(Value(now).text, change.text,
                  RevisionLabel(change.base_revision), change.file);
  if (context_.format == output_format::kJson) {
    PrintJson(*context_.out, {{"result", "dry_run"},
                              {"base_revision", change.base_revision},
                              {"diff", diff}});
  } else {
    *context_.out << Printable(diff) << "dry run: nothing was changed\n";
  }
  return exit_code::kDone;
}

exit_code settings_applier::Send(const settings_change& change) {
  const boost::json::value body = {{"base_revision", change.base_revision},
                                   {"text", change.text},
                                   {"change_id", change_id_},
                                   {"author", context_.author}};
  result<operator_reply> sent = context_.client->Call(
      {"POST", "/v1/settings", boost::json::serialize(body)});
  if (!Ok(sent)) {
    if (Error(sent).kind != failure_kind::kTimeout) {
      return Fail(context_, Error(sent));
    }
    *context_.err << "radishwingctl: the answer was lost ("
                  << Printable(Error(sent).message) << "); looking for change "
                  << change_id_ << '\n';
    return ResolveLostAnswer(change);
  }
  const operator_reply& reply = Value(sent);
  if (reply.status == 200) {
    return AwaitConfirmations(change, CountField(reply.body, "revision"));
  }
  if (reply.status == 409) {
    return ShowConflict(change, RecordFromJson(reply.body));
  }
  const boost::json::value* findings = FindField(reply.body, "findings");
  if (reply.status == 400 && findings) {
    return FailWithFindings(context_, settings::FindingsFromJson(*findings));
  }
  return Fail(context_, FailureOf(reply));
}

// The change is never sent again. It has taken effect if its id is in the
// record or in the history; it never will if the next revision has another id,
// since the write names the base revision.
exit_code settings_applier::ResolveLostAnswer(const settings_change& change) {
  const millis deadline = context_.now.Now() + context_.lost_answer_wait_ms;
  for (;;) {
    const lookup seen = LookUp(change.base_revision);
    if (seen.found == state::kApplied) {
      return AwaitConfirmations(change, seen.revision);
    }
    if (seen.found == state::kNotApplied) {
      result<settings_record> theirs = FetchSettings(*context_.client);
      if (!Ok(theirs)) return Fail(context_, Error(theirs));
      return ShowConflict(change, Value(theirs));
    }
    if (context_.now.Now() >= deadline) break;
    context_.sleep(kPollIntervalMs);
  }
  return ReportUnknown(change);
}

exit_code settings_applier::ReportUnknown(const settings_change& change) {
  const std::string message =
      "the outcome of change " + change_id_ +
      " is unknown; `radishwingctl settings history` shows whether it was "
      "applied on revision " +
      std::to_string(change.base_revision);
  if (context_.format == output_format::kJson) {
    boost::json::object result = {
        {"error", FailureKindName(failure_kind::kTimeout)},
        {"message", message},
        {"change_id", change_id_}};
    for (const auto& member : change.shown) result.insert(member);
    PrintJson(*context_.out, result);
  } else {
    *context_.err << "radishwingctl: " << message << '\n';
    PrintMembers(*context_.out, change.shown);
  }
  return exit_code::kUnknown;
}

settings_applier::lookup settings_applier::LookUp(std::uint64_t base_revision) {
  result<settings_record> now = FetchSettings(*context_.client);
  if (!Ok(now) || Value(now).revision <= base_revision) return {};
  if (Value(now).change_id == change_id_) {
    return {state::kApplied, Value(now).revision};
  }
  if (Value(now).revision == base_revision + 1) return {state::kNotApplied, 0};
  result<boost::json::value> history =
      context_.client->Fetch({"GET", "/v1/settings/history", ""});
  if (!Ok(history)) return {};
  lookup seen;
  for (const auto& entry : ListField(Value(history), "entries")) {
    const std::uint64_t revision = CountField(entry, "revision");
    if (TextField(entry, "change_id") == change_id_) {
      return {state::kApplied, revision};
    }
    if (revision == base_revision + 1) seen.found = state::kNotApplied;
  }
  return seen;
}

exit_code settings_applier::ShowConflict(const settings_change& change,
                                         const settings_record& theirs) {
  const std::string base = RevisionLabel(change.base_revision);
  const std::string their_label =
      RevisionLabel(theirs.revision) + " by " + theirs.author;
  const std::string their_diff =
      UnifiedDiff(change.base_text, theirs.text, base, their_label);
  const std::string our_diff =
      UnifiedDiff(change.base_text, change.text, base, change.file);
  if (context_.format == output_format::kJson) {
    PrintJson(*context_.out, {{"error", "conflict"},
                              {"base_revision", change.base_revision},
                              {"revision", theirs.revision},
                              {"author", theirs.author},
                              {"theirs", their_diff},
                              {"yours", our_diff}});
    return exit_code::kConflict;
  }
  *context_.err << "radishwingctl: conflict: the settings are at "
                << Printable(their_label) << ", your change is based on "
                << base << "; nothing was applied\n"
                << "\ntheir change since then:\n"
                << Printable(their_diff) << "\nyour change:\n"
                << Printable(our_diff);
  return exit_code::kConflict;
}

exit_code settings_applier::AwaitConfirmations(const settings_change& change,
                                               std::uint64_t revision) {
  const millis deadline = context_.now.Now() + context_.confirm_wait_ms;
  std::optional<std::vector<std::string>> missing;
  for (;;) {
    if (auto now = Unconfirmed(revision)) missing = std::move(now);
    if (missing && missing->empty()) {
      return Report(change, revision, {}, exit_code::kDone);
    }
    if (context_.now.Now() >= deadline) break;
    context_.sleep(kPollIntervalMs);
  }
  if (!missing) missing = {"every member (no control answers)"};
  return Report(change, revision, *missing, exit_code::kUnconfirmed);
}

// Nothing if no control answers now. A fleet without members cannot have
// confirmed anything.
std::optional<std::vector<std::string>> settings_applier::Unconfirmed(
    std::uint64_t revision) {
  result<boost::json::value> reply = context_.client->Fetch(
      {"GET", "/v1/settings/confirmations?revision=" + std::to_string(revision),
       ""});
  if (!Ok(reply)) return std::nullopt;
  const boost::json::array members = ListField(Value(reply), "members");
  if (members.empty()) return std::nullopt;
  std::vector<std::string> missing;
  for (const boost::json::value& member : members) {
    const std::uint64_t confirmed = CountField(member, "revision");
    if (confirmed >= revision) continue;
    missing.push_back(TextField(member, "host") + " (at revision " +
                      std::to_string(confirmed) + ", silent for " +
                      std::to_string(CountField(member, "silent_ms")) + " ms)");
  }
  return missing;
}

exit_code settings_applier::Report(const settings_change& change,
                                   std::uint64_t revision,
                                   const std::vector<std::string>& unconfirmed,
                                   exit_code code) {
  if (context_.format == output_format::kJson) {
    boost::json::object result = {
        {"result", unconfirmed.empty() ? "in_force" : "unconfirmed"},
        {"revision", revision},
        {"change_id", change_id_},
        {"unconfirmed",
         boost::json::array(unconfirmed.begin(), unconfirmed.end())}};
    for (const auto& member : change.shown) result.insert(member);
    PrintJson(*context_.out, result);
    return code;
  }
  *context_.out << "applied as " << RevisionLabel(revision)
                << (unconfirmed.empty() ? ", in force on every member\n"
                                        : ", not yet confirmed by:\n");
  for (const std::string& member : unconfirmed) {
    *context_.out << "  " << Printable(member) << '\n';
  }
  PrintMembers(*context_.out, change.shown);
  return code;
}

}  // namespace radishwing::ctl
