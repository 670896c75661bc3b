#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "src/base/result.h"
#include "tools/platform_fake/fake_options.h"
#include "tools/platform_fake/fault_state.h"
#include "tools/platform_fake/host_table.h"
#include "tools/platform_fake/key_value_store.h"
#include "tools/platform_fake/task_table.h"

namespace radishwing::platform_fake {

/// Stand-in of the platform: store, tasks, hosts and live list over HTTP, with
/// faults on demand (docs/design.md, section 16.1). Runs on `io`, on one
/// thread; every method is called there.
class platform_fake {
 public:
  static result<std::unique_ptr<platform_fake>> Make(
      boost::asio::io_context& io, fake_options options);
  ~platform_fake();

  /// The bound "ip:port".
  std::string Address() const;

  /// Same as `POST /fault`.
  void SetFault(fault f);

  /// Calls so far of one kind: kv_read, kv_prefix, kv_write, kv_delete, watch,
  /// lease, hosts, host_change, live, runner, task_read, task_write, and
  /// rate_limited for those refused with 429.
  std::uint64_t Calls(std::string_view kind) const;

  key_value_store& Store();
  task_table& Tasks();
  host_table& Hosts();

 private:
  struct impl;
  explicit platform_fake(std::shared_ptr<impl> impl);
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::platform_fake
