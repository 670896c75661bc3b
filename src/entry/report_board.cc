#include "src/entry/report_board.h"

#include <algorithm>

namespace radishwing::entry {

void report_board::Publish(rpc::entry_report report) {
  std::lock_guard<std::mutex> lock(mutex_);
  for (const rpc::team_usage& old : newest_.usage) {
    auto same =
        std::find_if(report.usage.begin(), report.usage.end(),
                     [&](const rpc::team_usage& usage) {
                       return usage.team == old.team && usage.pool == old.pool;
                     });
    if (same != report.usage.end()) {
      same->slot_ms += old.slot_ms;
    } else if (old.slot_ms > 0) {
      rpc::team_usage kept = old;
      kept.queued = kept.running = 0;
      report.usage.push_back(std::move(kept));
    }
  }
  newest_ = std::move(report);
}

rpc::entry_report report_board::Take() {
  std::lock_guard<std::mutex> lock(mutex_);
  rpc::entry_report taken = newest_;
  for (rpc::team_usage& usage : newest_.usage) usage.slot_ms = 0;
  return taken;
}

}  // namespace radishwing::entry
