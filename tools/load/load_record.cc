#include "tools/load/load_record.h"

#include <sstream>

namespace radishwing::tools {
namespace {

constexpr std::string_view kOutcomeNames[] = {"answered", "refused", "unknown",
                                              "not-sent"};

std::string OrDash(const std::string& text) {
  return text.empty() ? "-" : text;
}

}  // namespace

std::string FormatLoadRecord(const load_record& record) {
  std::ostringstream line;
  line << record.id << ' ' << OrDash(record.team) << ' '
       << OrDash(record.service) << ' '
       << (record.idempotent ? "idempotent" : "non-idempotent") << ' '
       << kOutcomeNames[static_cast<int>(record.outcome)] << ' '
       << record.status << ' ' << record.latency_us << ' '
       << (record.mismatched ? "mismatched" : "matched");
  return line.str();
}

std::optional<load_record> ParseLoadRecord(std::string_view line) {
  std::istringstream in{std::string(line)};
  load_record record;
  std::string idempotent;
  std::string outcome;
  std::string match;
  if (!(in >> record.id >> record.team >> record.service >> idempotent >>
        outcome >> record.status >> record.latency_us >> match)) {
    return std::nullopt;
  }
  record.idempotent = idempotent == "idempotent";
  record.mismatched = match == "mismatched";
  for (int i = 0; i < 4; ++i) {
    if (outcome != kOutcomeNames[i]) continue;
    record.outcome = static_cast<load_outcome>(i);
    return record;
  }
  return std::nullopt;
}

}  // namespace radishwing::tools
