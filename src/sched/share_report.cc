#include "src/sched/share_report.h"

#include <cmath>

namespace radishwing::sched {
namespace {

std::string Percent(double share) {
  return std::to_string(std::lround(share * 100));
}

}  // namespace

std::string FormatShareReport(const share_report& report) {
  return "team=" + report.team + " used_percent=" + Percent(report.used_share) +
         " due_percent=" + Percent(report.due_share) +
         " weight=" + std::to_string(report.weight) + " waiting_core_ms=" +
         std::to_string(std::llround(report.waiting_core_ms));
}

}  // namespace radishwing::sched
