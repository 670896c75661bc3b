#include "tools/load/tally.h"

#include <istream>
#include <sstream>

namespace radishwing::tools {

void tally::AddRunnerRecords(std::istream& in) {
  std::string line;
  while (std::getline(in, line)) {
    std::istringstream fields(line);
    std::string event;
    std::string id;
    fields >> event >> id;
    if (event == "started") ++runs_[id].started;
    if (event == "completed") ++runs_[id].completed;
  }
}

void tally::AddLoadRecords(std::istream& in) {
  std::string line;
  while (std::getline(in, line)) {
    if (const auto record = ParseLoadRecord(line)) Count(*record);
  }
}

void tally::Count(const load_record& record) {
  const auto found = runs_.find(record.id);
  const run_count runs = found == runs_.end() ? run_count{} : found->second;
  switch (record.outcome) {
    case load_outcome::kAnswered:
      ++totals_.answered;
      if (runs.completed == 0 || record.mismatched) ++totals_.lost;
      break;
    case load_outcome::kRefused:
    case load_outcome::kNotSent:
      ++totals_.refused;
      if (runs.started > 0) ++totals_.lost;
      break;
    case load_outcome::kUnknown:
      ++totals_.unknown;
      break;
  }
  if (!record.idempotent && runs.started > 1) ++totals_.doubled;
}

}  // namespace radishwing::tools
