#pragma once

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "src/http/server.h"
#include "tools/platform_fake/call_counter.h"
#include "tools/platform_fake/platform_fake.h"
#include "tools/platform_fake/rate_limit.h"

namespace radishwing::platform_fake {

/// State and request handling of the fake. Split over store_routes.cc,
/// host_routes.cc, task_routes.cc and platform_fake_impl.cc.
struct platform_fake::impl : std::enable_shared_from_this<platform_fake::impl> {
  using responder = http::server::responder;

  struct watcher {
    std::string prefix;
    std::uint64_t after = 0;
    millis ends_at = 0;
    responder respond;
  };

  impl(boost::asio::io_context& io, fake_options options);

  millis Now() const { return options.clock.Now(); }
  void SetFault(const fault& f);

  /// Counts the call, applies limits and faults, then routes it.
  void Handle(http::server_request request, responder respond);
  void RouteWithFault(http::server_request request, std::string_view kind,
                      const responder& answer);
  void Route(const http::server_request& request, std::string_view kind,
             const responder& respond);
  void HandleControl(const http::server_request& request,
                     const responder& respond);
  /// Lets time take effect: leases, watches, tasks, reboots.
  void Tick();
  void ScheduleTick();

  http::server_response RouteStore(const http::server_request& request,
                                   std::string_view kind);
  http::server_response RouteLease(const http::server_request& request);
  void Watch(const http::server_request& request, const responder& respond);
  void AnswerWatchers();
  http::server_response RouteHosts(const http::server_request& request,
                                   std::string_view kind);
  http::server_response RouteTasks(const http::server_request& request,
                                   std::string_view kind);

  boost::asio::io_context& io;
  fake_options options;
  key_value_store store;
  host_table hosts;
  task_table tasks;
  call_counter counter;
  rate_limit reads;
  rate_limit writes;
  fault_state faults;
  std::uint64_t silent_up_to = 0;
  std::list<watcher> watchers;
  boost::asio::steady_timer tick;
  std::unique_ptr<http::server> server;
  bool stopped = false;
};

}  // namespace radishwing::platform_fake
