#include "src/entry/entry_server.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <thread>

#include "src/base/thread_name.h"
#include "src/entry/entry_core.h"

namespace radishwing::entry {
namespace {

constexpr millis kStalledMs = 5000;

}  // namespace

struct entry_server::impl {
  impl(entry_options options, link_port port)
      : core(std::move(options), std::move(port)) {}

  entry_core core;
  std::string address;
  std::atomic<bool> has_snapshot{false};
  std::atomic<bool> stopping{false};
  std::thread thread;
};

entry_server::entry_server(std::unique_ptr<impl> impl)
    : impl_(std::move(impl)) {}

result<std::unique_ptr<entry_server>> entry_server::Make(entry_options options,
                                                         link_port port) {
  auto made = std::make_unique<impl>(std::move(options), std::move(port));
  auto endpoint = made->core.Listen();
  if (!Ok(endpoint)) return Error(endpoint);
  made->address = Value(endpoint).address().to_string() + ":" +
                  std::to_string(Value(endpoint).port());
  return std::unique_ptr<entry_server>(new entry_server(std::move(made)));
}

void entry_server::Start() {
  impl_->thread = std::thread([p = impl_.get()] {
    NameThread("serve");
    auto guard = boost::asio::make_work_guard(p->core.Context());
    p->core.StartTicks();
    p->core.Context().run();
  });
}

entry_server::~entry_server() { Halt(); }

void entry_server::Halt() {
  if (!impl_->thread.joinable()) return;
  impl_->core.Context().stop();
  impl_->thread.join();
}

std::string entry_server::CallerAddress() const { return impl_->address; }

void entry_server::OnSnapshot(rpc::snapshot snapshot) {
  impl_->core.Inbox().PostSnapshot(std::move(snapshot),
                                   [p = impl_.get()](rpc::snapshot newest) {
                                     p->core.ApplySnapshot(std::move(newest));
                                     p->has_snapshot = true;
                                   });
}

void entry_server::OnConnected(bool connected) {
  impl_->core.Inbox().Post(
      [p = impl_.get(), connected] { p->core.SetConnected(connected); });
}

void entry_server::OnContact(millis sent_at) {
  impl_->core.NoteContact(sent_at);
}

void entry_server::OnCancel(std::string_view request_id,
                            std::string_view team) {
  impl_->core.Inbox().Post(
      [p = impl_.get(), id = std::string(request_id),
       team = std::string(team)] { p->core.CancelForPeer(id, team); });
}

rpc::entry_report entry_server::MakeReport() {
  return impl_->core.Board().Take();
}

bool entry_server::Ready() const {
  return impl_->has_snapshot && !impl_->stopping;
}

bool entry_server::Healthy() const {
  return impl_->core.Now() - impl_->core.LastTick() < kStalledMs;
}

std::uint64_t entry_server::Attempts() const { return impl_->core.Attempts(); }

void entry_server::Stop(std::function<void()> stopped) {
  impl_->stopping = true;
  impl_->core.Inbox().Post([p = impl_.get(), stopped = std::move(stopped)] {
    p->core.Stop(stopped);
  });
}

}  // namespace radishwing::entry
