#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "src/base/clock.h"
#include "tools/runner_fake/run_record.h"
#include "tools/runner_fake/runner_fault.h"
#include "tools/runner_fake/runner_options.h"

namespace radishwing::fake {

class runner_session;

/// What the sessions of one fake runner share. Used on its thread only, except
/// for the records and the counters.
struct runner_state {
  explicit runner_state(runner_options o) : options(std::move(o)) {
    if (!options.record_file.empty()) {
      record_file_.open(options.record_file, std::ios::app);
    }
  }

  /// Notes the start of a run and returns its number.
  std::uint64_t Start(run_record record);
  void Complete(std::uint64_t number);
  std::vector<run_record> Records() const;

  runner_options options;
  runner_fault fault;
  std::uint32_t running = 0;
  std::unordered_map<runner_session*, std::weak_ptr<runner_session>> sessions;
  std::function<void(runner_fault, runner_session*)> set_fault;
  std::atomic<std::uint64_t> attempts{0};
  std::atomic<std::uint64_t> connections{0};
  clock time = clock::Wall();

 private:
  mutable std::mutex mutex_;
  std::deque<run_record> records_;
  std::uint64_t first_ = 0;
  std::ofstream record_file_;

 public:
  /// Last, so that it is destroyed first: pending handlers own sessions, which
  /// use the members above.
  boost::asio::io_context context{1};
};

}  // namespace radishwing::fake
