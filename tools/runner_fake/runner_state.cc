#include "tools/runner_fake/runner_state.h"

namespace radishwing::fake {

std::uint64_t runner_state::Start(run_record record) {
  record.started_ms = time.Now();
  std::lock_guard<std::mutex> lock(mutex_);
  if (record_file_.is_open()) {
    record_file_ << "started " << record.id << ' ' << record.run << ' '
                 << record.team << std::endl;
  }
  if (records_.size() >= options.records_max) {
    records_.pop_front();
    ++first_;
  }
  records_.push_back(std::move(record));
  return first_ + records_.size() - 1;
}

void runner_state::Complete(std::uint64_t number) {
  millis now = time.Now();
  std::lock_guard<std::mutex> lock(mutex_);
  if (number < first_) return;
  run_record& record = records_[number - first_];
  record.completed_ms = now;
  if (record_file_.is_open()) {
    record_file_ << "completed " << record.id << ' ' << record.run << std::endl;
  }
}

std::vector<run_record> runner_state::Records() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return {records_.begin(), records_.end()};
}

}  // namespace radishwing::fake
