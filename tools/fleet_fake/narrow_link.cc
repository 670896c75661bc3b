#include "tools/fleet_fake/narrow_link.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>
#include <utility>

#include "src/http/address.h"

namespace radishwing::fleet_fake {
namespace {

using boost::asio::ip::tcp;
using std::chrono::steady_clock;

constexpr std::size_t kChunkBytes = 4096;

/// One direction of the link.
struct lane {
  std::size_t bytes_per_s = 0;
  steady_clock::time_point free_at;  ///< End of the accepted transmissions.

  /// Returns the time at which `bytes` that arrive now have been transmitted.
  steady_clock::time_point Transmit(std::size_t bytes) {
    const auto duration = std::chrono::microseconds(
        bytes * std::chrono::microseconds::period::den / bytes_per_s);
    free_at = std::max(free_at, steady_clock::now()) + duration;
    return free_at;
  }
};

/// Copies bytes from one socket to another until either of them is closed.
struct pump : std::enable_shared_from_this<pump> {
  pump(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
       std::shared_ptr<lane> over)
      : from(std::move(from)),
        to(std::move(to)),
        over(std::move(over)),
        timer(this->from->get_executor()) {}

  void Run() {
    from->async_read_some(
        boost::asio::buffer(chunk),
        [self = shared_from_this()](boost::system::error_code error,
                                    std::size_t bytes) {
          if (error) return self->Close();
          self->timer.expires_at(self->over->Transmit(bytes));
          self->timer.async_wait([self, bytes](boost::system::error_code) {
            boost::asio::async_write(
                *self->to, boost::asio::buffer(self->chunk, bytes),
                [self](boost::system::error_code write_error, std::size_t) {
                  if (write_error) return self->Close();
                  self->Run();
                });
          });
        });
  }

  void Close() {
    boost::system::error_code ignored;
    from->close(ignored);
    to->close(ignored);
  }

  std::shared_ptr<tcp::socket> from;
  std::shared_ptr<tcp::socket> to;
  std::shared_ptr<lane> over;
  boost::asio::steady_timer timer;
  std::array<char, kChunkBytes> chunk{};
};

}  // namespace

struct narrow_link::impl : std::enable_shared_from_this<narrow_link::impl> {
  impl(boost::asio::io_context& io, const tcp::endpoint& target,
       std::size_t bytes_per_s)
      : io(io),
        target(target),
        acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    to_server->bytes_per_s = bytes_per_s;
    to_client->bytes_per_s = bytes_per_s;
  }

  void Accept() {
    auto client = std::make_shared<tcp::socket>(io);
    acceptor.async_accept(*client, [self = shared_from_this(),
                                    client](boost::system::error_code error) {
      if (error) return;
      self->Connect(client);
      self->Accept();
    });
  }

  void Connect(const std::shared_ptr<tcp::socket>& client) {
    auto server = std::make_shared<tcp::socket>(io);
    server->async_connect(target, [self = shared_from_this(), client,
                                   server](boost::system::error_code error) {
      if (error) return;
      std::make_shared<pump>(client, server, self->to_server)->Run();
      std::make_shared<pump>(server, client, self->to_client)->Run();
    });
  }

  boost::asio::io_context& io;
  tcp::endpoint target;
  tcp::acceptor acceptor;
  std::shared_ptr<lane> to_server = std::make_shared<lane>();
  std::shared_ptr<lane> to_client = std::make_shared<lane>();
};

narrow_link::narrow_link(boost::asio::io_context& io, const std::string& target,
                         std::size_t bytes_per_s) {
  auto endpoint = http::ParseAddress(target);
  if (!Ok(endpoint)) throw std::runtime_error(Error(endpoint).message);
  impl_ = std::make_shared<impl>(io, Value(endpoint), bytes_per_s);
  impl_->Accept();
}

narrow_link::~narrow_link() {
  boost::system::error_code ignored;
  impl_->acceptor.close(ignored);
}

std::string narrow_link::Address() const {
  return "127.0.0.1:" + std::to_string(impl_->acceptor.local_endpoint().port());
}

}  // namespace radishwing::fleet_fake
