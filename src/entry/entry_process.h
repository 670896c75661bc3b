#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "src/base/result.h"
#include "src/settings/process_settings.h"

namespace radishwing::entry {

/// A whole entry process: the serve thread, the link to the control process
/// and the metrics port. Made and used on the thread that runs `context`.
class entry_process {
 public:
  static result<std::unique_ptr<entry_process>> Make(
      boost::asio::io_context& context,
      const settings::process_settings& settings);
  ~entry_process();
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;

  std::string CallerAddress() const;
  std::string MetricsAddress() const;

  /// Starts a graceful stop; `context` is stopped when it is complete.
  void Stop();

  /// What a stop now would interrupt, as key=value fields.
  std::string DescribeInFlight();

 private:
  struct impl;
  explicit entry_process(std::unique_ptr<impl> impl);
  std::unique_ptr<impl> impl_;
};

}  // namespace radishwing::entry
