#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/control/control_process.h"
#include "src/control/platform_thread.h"
#include "src/entry/entry_process.h"
#include "tests/entry/http_caller.h"
#include "tools/platform_fake/platform_fake.h"
#include "tools/runner_fake/runner_fake.h"

namespace radishwing::whole_path {

/// A fake platform, two controls in two data centres with an entry beside
/// each, and two fake runners of service "sums", in one process. Team "uva"
/// has key "key-uva".
class whole_path_fixture {
 public:
  whole_path_fixture();
  ~whole_path_fixture();

  /// Starts everything and waits until both entries serve. Settings may be
  /// changed before.
  void Start();

  /// Writes the next revision of the settings to the store.
  void Publish();

  /// One request on a connection of its own, with the key of the team.
  entry::http_answer Send(std::size_t entry, const std::string& method,
                          const std::string& target,
                          std::map<std::string, std::string> headers = {});

  /// Records of all runners.
  std::vector<fake::run_record> Records() const;

  /// Tokens of the team that a control counts as in use.
  std::uint32_t InUse(std::size_t control);

  std::uint32_t upper_limit = 12;
  bool with_key = true;
  std::vector<std::unique_ptr<fake::runner_fake>> runners;
  std::vector<std::unique_ptr<control::control_process>> controls;
  std::vector<std::unique_ptr<entry::entry_process>> entries;
  std::vector<std::string> callers;  ///< Caller addresses of the entries.

 private:
  std::string SettingsText() const;
  void StartHost(const std::string& host, const std::string& data_centre);
  void StartRunner(const std::string& id);
  bool RosterSettled();

  boost::asio::io_context platform_io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{platform_io_.get_executor()};
  std::unique_ptr<platform_fake::platform_fake> platform_;
  std::thread platform_runs_;
  std::vector<std::unique_ptr<control::platform_thread>> platform_threads_;
  boost::asio::io_context entry_io_{1};  ///< Only a graceful stop uses it.
  std::uint64_t revision_ = 0;
  std::uint64_t stored_version_ = 0;
};

}  // namespace radishwing::whole_path
