#include "src/ctl/settings_commands.h"

#include "src/ctl/settings_applier.h"
#include "src/ctl/show_command.h"
#include "src/ctl/text_diff.h"
#include "src/settings/fleet_parser.h"
#include "src/settings/text_file.h"

namespace radishwing::ctl {
namespace {

result<settings_record> FetchEither(const command_context& context,
                                    std::uint64_t revision) {
  return revision == 0 ? FetchSettings(*context.client)
                       : FetchRevision(*context.client, revision);
}

}  // namespace

exit_code CheckSettings(const command_context& context,
                        const std::vector<std::string>& files) {
  std::vector<finding> findings;
  for (const std::string& file : files) {
    result<std::string> text =
        settings::ReadTextFile(file, settings::kMaxTextBytes);
    if (!Ok(text)) return Fail(context, Error(text));
    const auto parsed = settings::ParseFleetSettings(file, Value(text), 0);
    if (parsed.index() == 0) continue;
    const std::vector<finding>& found = std::get<1>(parsed);
    findings.insert(findings.end(), found.begin(), found.end());
  }
  if (!findings.empty()) return FailWithFindings(context, findings);
  if (context.format == output_format::kJson) {
    PrintJson(*context.out, {{"findings", boost::json::array()}});
  } else {
    *context.out << "no findings\n";
  }
  return exit_code::kDone;
}

exit_code DiffSettings(const command_context& context,
                       const std::string& file) {
  result<std::string> text =
      settings::ReadTextFile(file, settings::kMaxTextBytes);
  if (!Ok(text)) return Fail(context, Error(text));
  result<settings_record> now = FetchSettings(*context.client);
  if (!Ok(now)) return Fail(context, Error(now));
  const std::string label = "revision " + std::to_string(Value(now).revision);
  const std::string diff =
      UnifiedDiff(Value(now).text, Value(text), label, file);
  if (context.format == output_format::kJson) {
    PrintJson(*context.out,
              {{"revision", Value(now).revision}, {"diff", diff}});
  } else {
    *context.out << Printable(diff);
  }
  return diff.empty() ? exit_code::kDone : exit_code::kDifferent;
}

exit_code ApplySettings(const command_context& context, const std::string& file,
                        std::optional<std::uint64_t> base_revision) {
  result<std::string> text =
      settings::ReadTextFile(file, settings::kMaxTextBytes);
  if (!Ok(text)) return Fail(context, Error(text));
  settings_change change{file, base_revision.value_or(0), "", Value(text), {}};
  if (!base_revision) {
    result<settings_record> now = FetchSettings(*context.client);
    if (!Ok(now)) return Fail(context, Error(now));
    if (Value(now).revision != 0) {
      return Fail(context,
                  {failure_kind::kInvalid,
                   "the settings are at revision " +
                       std::to_string(Value(now).revision) + " by " +
                       Value(now).author + "; name the revision that " + file +
                       " was made from with --base"});
    }
  } else if (*base_revision != 0) {
    // Only for showing a conflict: an unreachable history does not matter.
    result<settings_record> base =
        FetchRevision(*context.client, *base_revision);
    if (Ok(base)) change.base_text = Value(base).text;
  }
  return settings_applier(context).Apply(change);
}

exit_code GetSettings(const command_context& context, std::uint64_t revision) {
  result<settings_record> record = FetchEither(context, revision);
  if (!Ok(record)) return Fail(context, Error(record));
  const settings_record& r = Value(record);
  if (r.revision == 0) {
    return Fail(context,
                {failure_kind::kNotFound, "no settings have been applied yet"});
  }
  if (context.format == output_format::kJson) {
    PrintJson(*context.out, {{"revision", r.revision},
                             {"author", r.author},
                             {"change_id", r.change_id},
                             {"text", r.text}});
  } else {
    *context.out << r.text;
    *context.err << "revision " << r.revision << " by " << Printable(r.author)
                 << '\n';
  }
  return exit_code::kDone;
}

exit_code ShowHistory(const command_context& context) {
  static constexpr table_column kColumns[] = {
      {"REVISION", "revision"}, {"AUTHOR", "author"}, {"CHANGE", "change_id"}};
  return ShowList(context, "/v1/settings/history", "entries", kColumns);
}

}  // namespace radishwing::ctl
