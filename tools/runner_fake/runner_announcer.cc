#include "tools/runner_fake/runner_announcer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>

#include "src/http/address.h"

namespace radishwing::fake {

namespace beast_http = boost::beast::http;
using boost::beast::error_code;

struct runner_announcer::impl : std::enable_shared_from_this<impl> {
  impl(runner_state& s, std::string address)
      : state(s), own_address(std::move(address)), timer(s.context) {}

  void Tick() {
    Announce();
    timer.expires_after(std::chrono::seconds(1));
    timer.async_wait([self = shared_from_this()](error_code error) {
      if (!error) self->Tick();
    });
  }

  void Announce() {
    auto endpoint =
        radishwing::http::ParseAddress(state.options.platform_address);
    if (!Ok(endpoint)) return;
    request = {};
    request.method(beast_http::verb::post);
    request.target("/v1/runners");
    request.set(beast_http::field::host, state.options.platform_address);
    request.body() = Description();
    request.prepare_payload();
    // A fresh connection each time: an announcement must not depend on a
    // connection that has gone silent.
    stream = std::make_shared<boost::beast::tcp_stream>(state.context);
    stream->expires_after(std::chrono::milliseconds(900));
    stream->async_connect(Value(endpoint), [self = shared_from_this(),
                                            s = stream](error_code error) {
      if (!error) self->Send(s);
    });
  }

  void Send(std::shared_ptr<boost::beast::tcp_stream> s) {
    beast_http::async_write(
        *s, request,
        [self = shared_from_this(), s](error_code error, std::size_t) {
          if (!error) self->Receive(s);
        });
  }

  void Receive(std::shared_ptr<boost::beast::tcp_stream> s) {
    auto buffer = std::make_shared<boost::beast::flat_buffer>();
    auto response =
        std::make_shared<beast_http::response<beast_http::string_body>>();
    beast_http::async_read(*s, *buffer, *response,
                           [s, buffer, response](error_code, std::size_t) {});
  }

  std::string Description() const {
    bool leaving = state.fault.mode == runner_fault_mode::kLeave;
    return boost::json::serialize(
        boost::json::object{{"id", state.options.id},
                            {"service", state.options.service},
                            {"host", state.options.host},
                            {"address", own_address},
                            {"slots", state.options.slots},
                            {"connections", state.options.connections},
                            {"state", leaving ? "leaving" : "live"},
                            {"running", state.running}});
  }

  runner_state& state;
  std::string own_address;
  boost::asio::steady_timer timer;
  beast_http::request<beast_http::string_body> request;
  std::shared_ptr<boost::beast::tcp_stream> stream;
};

runner_announcer::runner_announcer(runner_state& state, std::string own_address)
    : impl_(std::make_shared<impl>(state, std::move(own_address))) {}

runner_announcer::~runner_announcer() = default;

void runner_announcer::Start() { impl_->Tick(); }

}  // namespace radishwing::fake
