#include "tools/runner_fake/runner_fake.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <future>
#include <optional>
#include <thread>

#include "src/base/thread_name.h"
#include "src/http/address.h"
#include "tools/runner_fake/runner_announcer.h"
#include "tools/runner_fake/runner_session.h"

namespace radishwing::fake {

using boost::asio::ip::tcp;
using boost::beast::error_code;

struct runner_fake::impl {
  explicit impl(runner_options options)
      : state(std::move(options)),
        acceptor(state.context),
        refuse_timer(state.context) {}

  error_code Listen() {
    error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error) acceptor.bind(endpoint, error);
    if (!error) acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (!error) endpoint = acceptor.local_endpoint(error);
    if (!error) Accept();
    return error;
  }

  void Accept() {
    acceptor.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      if (state.sessions.size() < state.options.connections) {
        Serve(std::move(socket));
      }
      Accept();
    });
  }

  void Serve(tcp::socket socket) {
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    ++state.connections;
    auto session = std::make_shared<runner_session>(state, std::move(socket));
    state.sessions.emplace(session.get(), session);
    session->Read();
  }

  void CloseSessions(runner_session* but) {
    auto sessions = state.sessions;
    for (auto& [key, weak] : sessions) {
      auto session = weak.lock();
      if (session && key != but) session->Close();
    }
  }

  void SilenceSessions(runner_session* but) {
    for (auto& [key, weak] : state.sessions) {
      if (key != but) key->GoSilent();
    }
  }

  /// The session that carried the fault call stays open to be answered.
  void SetFault(runner_fault fault, runner_session* from) {
    error_code ignored;
    refuse_timer.cancel();
    state.fault = fault;
    if (fault.mode == runner_fault_mode::kRefuse) {
      acceptor.close(ignored);
      CloseSessions(from);
      if (fault.delay_ms > 0) EndRefusalAfter(fault.delay_ms);
      return;
    }
    if (!acceptor.is_open()) Listen();
    if (fault.mode == runner_fault_mode::kSilent) SilenceSessions(from);
  }

  void EndRefusalAfter(millis delay) {
    refuse_timer.expires_after(std::chrono::milliseconds(delay));
    refuse_timer.async_wait([this](error_code error) {
      if (!error) SetFault({}, nullptr);
    });
  }

  void RunOnThread(std::function<void()> work) {
    std::promise<void> finished;
    boost::asio::post(state.context, [&] {
      work();
      finished.set_value();
    });
    finished.get_future().wait();
  }

  runner_state state;
  tcp::endpoint endpoint;
  tcp::acceptor acceptor;
  boost::asio::steady_timer refuse_timer;
  std::optional<runner_announcer> announcer;
  std::thread thread;
};

runner_fake::runner_fake(std::unique_ptr<impl> impl) : impl_(std::move(impl)) {}

result<std::unique_ptr<runner_fake>> runner_fake::Make(runner_options options) {
  auto endpoint = http::ParseAddress(options.address);
  if (!Ok(endpoint)) return Error(endpoint);
  auto made = std::make_unique<impl>(std::move(options));
  impl* p = made.get();
  p->endpoint = Value(endpoint);
  p->state.set_fault = [p](runner_fault fault, runner_session* from) {
    p->SetFault(fault, from);
  };
  if (error_code error = p->Listen()) {
    return failure{failure_kind::kUnavailable, "cannot listen on " +
                                                   p->state.options.address +
                                                   ": " + error.message()};
  }
  auto fake = std::unique_ptr<runner_fake>(new runner_fake(std::move(made)));
  if (!p->state.options.platform_address.empty()) {
    p->announcer.emplace(p->state, fake->Address());
    p->announcer->Start();
  }
  p->thread = std::thread([p] {
    NameThread("runner");
    auto guard = boost::asio::make_work_guard(p->state.context);
    p->state.context.run();
  });
  return fake;
}

runner_fake::~runner_fake() {
  if (!impl_->thread.joinable()) return;
  Kill();
  impl_->state.context.stop();
  impl_->thread.join();
}

std::string runner_fake::Address() const {
  return impl_->endpoint.address().to_string() + ":" +
         std::to_string(impl_->endpoint.port());
}

void runner_fake::SetFault(runner_fault fault) {
  impl_->RunOnThread([this, fault] { impl_->SetFault(fault, nullptr); });
}

void runner_fake::Kill() {
  impl_->RunOnThread([this] {
    error_code ignored;
    impl_->refuse_timer.cancel();
    impl_->acceptor.close(ignored);
    impl_->CloseSessions(nullptr);
  });
}

std::vector<run_record> runner_fake::Records() const {
  return impl_->state.Records();
}

std::uint64_t runner_fake::Attempts() const { return impl_->state.attempts; }

std::uint64_t runner_fake::Connections() const {
  return impl_->state.connections;
}

}  // namespace radishwing::fake
