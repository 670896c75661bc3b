#include "src/ctl/explain_command.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <string_view>

namespace radishwing::ctl {
namespace {

/// Parts whose lines concern every job that is open at the time.
constexpr std::array<std::string_view, 4> kShared = {
    " member: ", " leader: ", " store: ", " node: "};

// Lines begin with the time of day, as "2026-12-04 11:38:55,773".
constexpr std::size_t kTimeLength = 23;

std::string_view TimeOf(std::string_view line) {
  return line.substr(0, kTimeLength);
}

/// The value of " NAME=" in a line, or nothing.
std::string_view FieldOf(std::string_view line, std::string_view name) {
  const std::string mark = " " + std::string(name) + "=";
  const std::size_t at = line.find(mark);
  if (at == std::string_view::npos) return {};
  const std::string_view rest = line.substr(at + mark.size());
  return rest.substr(0, rest.find(' '));
}

bool Mentions(std::string_view line, std::string_view text) {
  return line.find(text) != std::string_view::npos;
}

result<std::vector<std::string>> ReadLines(
    const std::vector<std::string>& files) {
  std::vector<std::string> lines;
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file) {
      return failure{failure_kind::kUnavailable, "cannot read " + name};
    }
    for (std::string line; std::getline(file, line);) {
      if (line.size() > kTimeLength) lines.push_back(std::move(line));
    }
  }
  std::ranges::stable_sort(lines, {}, TimeOf);
  return lines;
}

}  // namespace

exit_code ExplainJob(const command_context& context, const std::string& id,
                     const std::vector<std::string>& files) {
  auto read = ReadLines(files);
  if (!Ok(read)) return Fail(context, Error(read));
  const std::vector<std::string>& lines = Value(read);
  std::set<std::string> runners;
  std::string_view first;
  std::string_view last;
  for (const std::string& line : lines) {
    if (!Mentions(line, id)) continue;
    if (first.empty()) first = TimeOf(line);
    last = TimeOf(line);
    const std::string_view runner = FieldOf(line, "runner");
    if (!runner.empty()) runners.emplace(runner);
  }
  if (first.empty()) {
    return Fail(context, {failure_kind::kNotFound,
                          "no line names " + id +
                              ": the call did not arrive whole, or its lines "
                              "were over the log's budget"});
  }
  for (const std::string& line : lines) {
    if (TimeOf(line) < first || TimeOf(line) > last) continue;
    const bool shared = std::ranges::any_of(
        kShared, [&](std::string_view part) { return Mentions(line, part); });
    const bool of_runner =
        Mentions(line, " runner: ") &&
        runners.contains(std::string(FieldOf(line, "runner")));
    if (Mentions(line, id) || shared || of_runner) {
      *context.out << Printable(line) << '\n';
    }
  }
  return exit_code::kDone;
}

}  // namespace radishwing::ctl
