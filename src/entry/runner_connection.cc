#include "src/entry/runner_connection.h"

#include <boost/asio/write.hpp>

#include "src/entry/exchange.h"

namespace radishwing::entry {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {
// A read takes a typical response at once; the buffer grows while streaming.
constexpr std::size_t kFirstRead = 4 * 1024;
}  // namespace

runner_connection::runner_connection(boost::asio::io_context& context,
                                     std::shared_ptr<connection_pool> pool)
    : socket_(context),
      pool_(std::move(pool)),
      buffer_(kResponseHeaderMax + kStreamBuffer) {
  pool_->CountOpened();
}

runner_connection::~runner_connection() { Close(); }

void runner_connection::Connect(const tcp::endpoint& endpoint, exchange* user) {
  user_ = user;
  socket_.async_connect(
      endpoint, [self = shared_from_this()](const error_code& error) {
        if (self->closed_) return;
        error_code ignored;
        self->socket_.set_option(tcp::no_delay(true), ignored);
        self->socket_.non_blocking(true, ignored);
        if (self->user_) self->user_->OnConnected(error);
      });
}

write_result runner_connection::Write(
    std::array<boost::asio::const_buffer, 2> buffers, bool& written) {
  error_code error;
  std::size_t size = socket_.write_some(buffers, error);
  if (error == boost::asio::error::would_block) {
    error = {};
    size = 0;
  }
  if (size > 0) written = true;
  if (error) return write_result::kFailed;
  if (size == boost::asio::buffer_size(buffers)) return write_result::kDone;
  for (auto& buffer : buffers) {
    std::size_t skip = std::min(size, buffer.size());
    buffer += skip;
    size -= skip;
  }
  writing_ = true;
  boost::asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](const error_code& failed, std::size_t) {
        self->writing_ = false;
        if (self->user_) self->user_->OnRunnerWritten(failed);
      });
  return write_result::kPending;
}

void runner_connection::Read() {
  if (reading_ || closed_) return;
  reading_ = true;
  // A full buffer means that more is streaming in.
  std::size_t want = std::max(kFirstRead, buffer_.capacity());
  want = std::min(want - std::min(want / 2, buffer_.size()), kStreamBuffer);
  socket_.async_read_some(
      buffer_.prepare(want),
      [self = shared_from_this()](const error_code& error, std::size_t size) {
        self->OnRead(error, size);
      });
}

void runner_connection::OnRead(const error_code& error, std::size_t size) {
  reading_ = false;
  if (closed_) return;
  if (lingered_) {
    if (!error) return Read();
    auto ended = std::move(lingered_);
    Close();
    return ended();
  }
  buffer_.commit(size);
  if (user_) return user_->OnRunnerBytes(error);
  // Bytes or an end that no request waits for: the connection is unusable.
  Close();
}

void runner_connection::Release(millis now) {
  user_ = nullptr;
  parser_.reset();
  idle_since_ = now;
  Read();
  pool_->Put(shared_from_this());
}

bool runner_connection::IsOpen() {
  char byte = 0;
  error_code error;
  socket_.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek,
                  error);
  return error == boost::asio::error::would_block;
}

void runner_connection::Close() {
  if (closed_) return;
  closed_ = true;
  user_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
  pool_->CountClosed();
  pool_->Remove(this);
}

void runner_connection::Linger(std::function<void()> ended) {
  user_ = nullptr;
  lingered_ = std::move(ended);
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  buffer_.clear();
  Read();
}

}  // namespace radishwing::entry
