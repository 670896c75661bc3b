#include "src/entry/caller_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "src/entry/entry_core.h"

namespace radishwing::entry {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {
// Enough for a typical header; an idle connection holds no more than this.
constexpr std::size_t kHeadRead = 2 * 1024;
// How long a closed connection is read, so that a caller that still sends
// gets the response instead of a reset.
constexpr millis kClosingMs = 2000;
}  // namespace

caller_connection::caller_connection(entry_core& core, tcp::socket socket)
    : core_(core),
      socket_(std::move(socket)),
      buffer_(kRequestHeaderMax + kStreamBuffer),
      exchange_(core, *this) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

void caller_connection::Start() { NextRequest(); }

void caller_connection::NextRequest() {
  phase_ = phase::kHead;
  parser_.emplace();
  parser_->header_limit(kRequestHeaderMax);
  parser_->body_limit(boost::none);
  timeout_at_ = core_.Now() + core_.Options().keep_alive_timeout_ms;
  if (buffer_.size() == 0) {
    if (buffer_.capacity() > 2 * kHeadRead && !reading_) {
      buffer_.shrink_to_fit();
    }
    return Read();
  }
  timeout_at_ = core_.Now() + core_.Options().header_timeout_ms;
  // Posted, so that pipelined requests cannot recurse.
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->phase_ == phase::kHead) self->ParseHead();
  });
}

void caller_connection::Read() {
  if (reading_ || phase_ == phase::kClosed) return;
  reading_ = true;
  std::size_t room = buffer_.max_size() - buffer_.size();
  std::size_t want = phase_ == phase::kBody ? kStreamBuffer : kHeadRead;
  if (phase_ == phase::kClosing) buffer_.clear();
  socket_.async_read_some(
      buffer_.prepare(std::min(want, room)),
      [self = shared_from_this()](const error_code& error, std::size_t size) {
        self->OnRead(error, size);
      });
}

void caller_connection::OnRead(const error_code& error, std::size_t size) {
  reading_ = false;
  if (phase_ == phase::kClosed) return;
  if (error) {
    if (exchange_.Active()) exchange_.OnCallerGone();
    return Abort();
  }
  if (phase_ == phase::kClosing) return Read();
  bool first = phase_ == phase::kHead && buffer_.size() == 0;
  buffer_.commit(size);
  if (first) timeout_at_ = core_.Now() + core_.Options().header_timeout_ms;
  if (phase_ == phase::kHead) return ParseHead();
  if (phase_ == phase::kBody) {
    timeout_at_ = core_.Now() + core_.Options().idle_part_timeout_ms;
    FillBody();
  }
  // kBusy: the next request, sent ahead. It waits in the buffer.
}

void caller_connection::ParseHead() {
  error_code error;
  std::size_t used = parser_->put(buffer_.data(), error);
  buffer_.consume(used);
  if (error == http::error::need_more) return Read();
  if (error) return RejectHead(error);
  if (!parser_->is_header_done()) return Read();
  phase_ = phase::kBusy;
  timeout_at_ = 0;
  exchange_.Begin();
}

void caller_connection::RejectHead(const error_code& error) {
  rejection r{400, "malformed_request",
              "The request is not valid HTTP/1.1: " + error.message()};
  if (error == http::error::header_limit) {
    r = {431, "header_too_large", "The request header exceeds 16 KB"};
  }
  std::string text;
  AppendRejection(r, {}, false, false, text);
  core_.CountRefusedHead();
  Reply(std::move(text), false);
}

void caller_connection::ReadBody(char* data, std::size_t size, bool all) {
  phase_ = phase::kBody;
  body_ = data;
  body_size_ = size;
  body_filled_ = 0;
  body_all_ = all;
  timeout_at_ = core_.Now() + core_.Options().idle_part_timeout_ms;
  FillBody();
}

void caller_connection::FillBody() {
  auto& body = parser_->get().body();
  error_code error;
  while (!parser_->is_done() && body_filled_ < body_size_ &&
         buffer_.size() > 0) {
    body.data = body_ + body_filled_;
    body.size = body_size_ - body_filled_;
    body.more = true;
    std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    body_filled_ = body_size_ - body.size;
    if (error == http::error::need_buffer) error = {};
    if (error || used == 0) break;
  }
  if (error && error != http::error::need_more) {
    phase_ = phase::kBusy;
    return exchange_.OnBodyError();
  }
  bool full = body_filled_ == body_size_;
  if (!parser_->is_done() && !full && (body_all_ || body_filled_ == 0)) {
    return Read();
  }
  phase_ = phase::kBusy;
  timeout_at_ = 0;
  exchange_.OnBodyPart(body_filled_);
}

void caller_connection::WatchForClose() {
  // A request sent ahead stays in the buffer; a close behind it is seen later.
  if (buffer_.size() == 0) Read();
}

write_result caller_connection::Write(
    std::array<boost::asio::const_buffer, 3> buffers) {
  error_code error;
  std::size_t size = socket_.write_some(buffers, error);
  if (error == boost::asio::error::would_block) {
    error = {};
    size = 0;
  }
  if (error) return write_result::kFailed;
  if (size == boost::asio::buffer_size(buffers)) return write_result::kDone;
  for (auto& buffer : buffers) {
    std::size_t skip = std::min(size, buffer.size());
    buffer += skip;
    size -= skip;
  }
  timeout_at_ = core_.Now() + core_.Options().idle_part_timeout_ms;
  boost::asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](const error_code& failed, std::size_t) {
        self->OnWritten(!failed);
      });
  return write_result::kPending;
}

void caller_connection::OnWritten(bool good) {
  if (phase_ == phase::kClosed) return;
  timeout_at_ = 0;
  if (!replying_) return exchange_.OnCallerWritten(good);
  replying_ = false;
  good ? EndResponse(reply_keeps_) : Abort();
}

void caller_connection::Reply(std::string text, bool keep) {
  phase_ = phase::kBusy;
  reply_ = std::move(text);
  reply_keeps_ = keep;
  auto result = Write({boost::asio::buffer(reply_)});
  if (result == write_result::kPending) {
    replying_ = true;
  } else {
    result == write_result::kDone ? EndResponse(keep) : Abort();
  }
}

void caller_connection::EndResponse(bool keep) {
  if (phase_ == phase::kClosed) return;
  if (!keep) return CloseAfterReply();
  NextRequest();
}

void caller_connection::CloseAfterReply() {
  phase_ = phase::kClosing;
  timeout_at_ = core_.Now() + kClosingMs;
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  Read();
}

void caller_connection::Abort() {
  if (phase_ == phase::kClosed) return;
  phase_ = phase::kClosed;
  error_code ignored;
  socket_.close(ignored);
  core_.RemoveCaller(*this);
}

void caller_connection::OnTick(millis now) {
  if (timeout_at_ == 0 || now < timeout_at_) return;
  if (phase_ == phase::kBody) return exchange_.OnSlowSender();
  if (phase_ == phase::kHead && buffer_.size() > 0) {
    rejection r{408, "slow_sender", "The request header took too long"};
    std::string text;
    AppendRejection(r, {}, false, false, text);
    core_.CountRefusedHead();
    return Reply(std::move(text), false);
  }
  if (exchange_.Active()) exchange_.OnCallerGone();
  Abort();
}

}  // namespace radishwing::entry
