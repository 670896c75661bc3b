#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "src/platform/http_host_client.h"
#include "src/platform/http_kv_store.h"
#include "src/platform/http_live_list_client.h"
#include "src/platform/http_task_client.h"
#include "tools/platform_fake/platform_fake.h"

namespace radishwing::platform {

/// The fake platform and its adapters on one io_context that the test runs.
/// The fake's time stands still unless the test advances it.
struct platform_fixture {
  platform_fixture() {
    fake_options.clock = time.View();
    fake_options.lag_ms = 0;
    fake_options.hosts = {{"h1", "dc1", "r1"}, {"h2", "dc1", "r2"}};
    Restart();
  }

  void Restart() {
    fake = Value(platform_fake::platform_fake::Make(io, fake_options));
    platform_options options;
    options.address = fake->Address();
    options.call_ms = 400;
    options.attempt_ms = 100;
    options.resolve_ms = 1500;
    options.retry_ms = 5;
    link = Value(platform_link::Make(io, options));
    store = std::make_unique<http_kv_store>(link);
    tasks = std::make_unique<http_task_client>(link);
    hosts = std::make_unique<http_host_client>(link);
    live = std::make_unique<http_live_list_client>(link);
  }

  /// Runs handlers until `ready`; the bound only ends a hung test.
  template <typename Ready>
  void RunUntil(Ready ready) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!ready()) {
      if (std::chrono::steady_clock::now() > end) {
        throw std::runtime_error("the awaited event did not happen");
      }
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
  }

  /// Runs `call` with a completion and returns what it got.
  template <typename T, typename Call>
  T Await(Call call) {
    std::optional<T> outcome;
    call([&](T value) { outcome = std::move(value); });
    RunUntil([&] { return outcome.has_value(); });
    return std::move(*outcome);
  }

  swap_outcome Swap(std::string key, std::uint64_t expect, std::string change,
                    std::string lease = {}) {
    kv_swap swap{std::move(key), expect, "{\"change_id\":\"" + change + "\"}",
                 std::move(lease)};
    return Await<swap_outcome>(
        [&](auto done) { store->Swap(std::move(swap), done); });
  }

  void Fault(platform_fake::fault_mode mode, std::uint64_t count = 0,
             std::string lease = {}) {
    fake->SetFault({mode, 0, count, std::move(lease)});
  }

  manual_clock time{1000000};
  boost::asio::io_context io{1};
  platform_fake::fake_options fake_options;
  std::unique_ptr<platform_fake::platform_fake> fake;
  std::shared_ptr<platform_link> link;
  std::unique_ptr<http_kv_store> store;
  std::unique_ptr<http_task_client> tasks;
  std::unique_ptr<http_host_client> hosts;
  std::unique_ptr<http_live_list_client> live;
};

}  // namespace radishwing::platform
