#include "src/control/control_core.h"

#include <kj/debug.h>

#include <utility>

#include "src/base/log.h"

namespace radishwing::control {
namespace {

rpc::hello Self(const control_options& options) {
  return {options.host, options.data_centre, options.incarnation,
          options.rpc_address};
}

}  // namespace

control_core::control_core(kj::AsyncIoContext& io, control_options options)
    : io_(io),
      options_(std::move(options)),
      table_(options_.incarnation),
      entries_(io.provider->getTimer(), clock_, options_.timing, settings_,
               table_),
      gate_(
          io, {options_.fleet_secret, Self(options_)},
          {[this](const rpc::hello& who, rpc::connection_closer close) {
             return entries_.Open(who, std::move(close));
           },
           [](const rpc::hello&, rpc::connection_closer) -> rpc::Peer::Client {
             KJ_FAIL_REQUIRE("no peers are served yet");
           }}),
      tasks_(*this) {
  Tick();
}

kj::Promise<std::string> control_core::Listen() {
  return gate_.Listen(options_.rpc_address);
}

void control_core::Tick() {
  entries_.Tick();
  tasks_.add(
      io_.provider->getTimer()
          .afterDelay(options_.timing.members.heartbeat_ms * kj::MILLISECONDS)
          .then([this] { Tick(); }));
}

void control_core::taskFailed(kj::Exception&& exception) {
  LogError("control", std::string("task failed, reason=") +
                          exception.getDescription().cStr());
}

}  // namespace radishwing::control
