#include "src/ctl/explain_command.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <string_view>

namespace radishwing::ctl {
namespace {

/// Log components whose lines concern all jobs. Such a line may explain the
/// outcome of every job that is unfinished when the line is written.
constexpr std::array<std::string_view, 4> kSharedComponents = {
    " member: ", " leader: ", " store: ", " node: "};

// Each log line begins with a timestamp such as "2026-12-04T11:38:55.773".
constexpr std::size_t kTimestampLength = 23;

std::string_view Timestamp(std::string_view line) {
  return line.substr(0, kTimestampLength);
}

/// Returns the value of the field `name` in a log line, or an empty view if
/// there is none.
std::string_view FieldValue(std::string_view line, std::string_view name) {
  const std::string prefix = " " + std::string(name) + "=";
  const std::size_t position = line.find(prefix);
  if (position == std::string_view::npos) return {};
  const std::string_view rest = line.substr(position + prefix.size());
  return rest.substr(0, rest.find(' '));
}

bool Contains(std::string_view line, std::string_view text) {
  return line.find(text) != std::string_view::npos;
}

/// Returns the lines of all files, ordered by timestamp. Omits lines that are
/// too short to contain a timestamp.
result<std::vector<std::string>> ReadLogLines(
    const std::vector<std::string>& log_files) {
  std::vector<std::string> lines;
  for (const std::string& name : log_files) {
    std::ifstream file(name);
    if (!file) {
      return failure{failure_kind::kUnavailable, "cannot read " + name};
    }
    for (std::string line; std::getline(file, line);) {
      if (line.size() > kTimestampLength) lines.push_back(std::move(line));
    }
  }
  std::ranges::stable_sort(lines, {}, Timestamp);
  return lines;
}

/// Prints how often the job was refused and why, if it was.
void PrintRefusals(const command_context& context,
                   const std::vector<std::string>& lines,
                   std::string_view job_id) {
  int count = 0;
  std::string_view last;
  for (const std::string& line : lines) {
    if (!Contains(line, " admission: job refused, ") ||
        FieldValue(line, "job") != job_id) {
      continue;
    }
    ++count;
    last = line;
  }
  if (count == 0) return;
  *context.out << "refused " << count << " times, the last time because of "
               << SanitizeForTerminal(FieldValue(last, "reason"))
               << "; the caller was told to submit it again after "
               << SanitizeForTerminal(FieldValue(last, "retry_after_s"))
               << " s; a refused submission stores nothing\n";
}

}  // namespace

exit_code ExplainJob(const command_context& context, const std::string& job_id,
                     const std::vector<std::string>& log_files) {
  auto read = ReadLogLines(log_files);
  if (!Ok(read)) return ReportFailure(context, Error(read));
  const std::vector<std::string>& lines = Value(read);
  std::set<std::string> runners;
  // Timestamps of the first and the last line that mention the job.
  std::string_view first;
  std::string_view last;
  for (const std::string& line : lines) {
    if (!Contains(line, job_id)) continue;
    if (first.empty()) first = Timestamp(line);
    last = Timestamp(line);
    const std::string_view runner = FieldValue(line, "runner");
    if (!runner.empty()) runners.emplace(runner);
  }
  if (first.empty()) {
    return ReportFailure(context,
                         {failure_kind::kNotFound,
                          "no log line contains " + job_id +
                              ": no node received the complete job, or the "
                              "log rate limit suppressed its lines"});
  }
  for (const std::string& line : lines) {
    if (Timestamp(line) < first || Timestamp(line) > last) continue;
    const bool is_shared = std::ranges::any_of(
        kSharedComponents,
        [&](std::string_view component) { return Contains(line, component); });
    const bool from_job_runner =
        Contains(line, " runner: ") &&
        runners.contains(std::string(FieldValue(line, "runner")));
    if (Contains(line, job_id) || is_shared || from_job_runner) {
      *context.out << SanitizeForTerminal(line) << '\n';
    }
  }
  PrintRefusals(context, lines, job_id);
  return exit_code::kSuccess;
}

}  // namespace radishwing::ctl
