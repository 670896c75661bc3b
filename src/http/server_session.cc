#include "src/http/server_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <exception>
#include <utility>

namespace radishwing::http {
namespace {

namespace beast_http = boost::beast::http;

// Time and input limits of a lingering close. After the last response on a
// connection, the server waits within these limits for the client to close the
// connection.
constexpr millis kLingerTimeoutMs = 1000;
constexpr std::size_t kLingerMaxBytes = 8u << 20;

server_response MakeReadErrorResponse(boost::system::error_code error) {
  if (error == beast_http::error::header_limit) {
    return MakeErrorResponse(431, "header_too_large",
                             "the header is too large");
  }
  if (error == beast_http::error::body_limit) {
    return MakeErrorResponse(413, "body_too_large", "the body is too large");
  }
  return MakeErrorResponse(400, "malformed", error.message());
}

}  // namespace

server_session::server_session(std::weak_ptr<server::impl> owner,
                               server_options options,
                               boost::asio::ip::tcp::socket socket,
                               std::uint64_t connection_id)
    : owner_(std::move(owner)),
      options_(std::move(options)),
      socket_(std::move(socket)),
      connection_id_(connection_id),
      timer_(socket_.get_executor()) {}

server_session::~server_session() = default;

void server_session::Start() { ReadHeader(); }

void server_session::Close() {
  if (closed_) return;
  closed_ = true;
  DecrementInFlight();
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (const auto owner = owner_.lock()) {
    owner->sessions.erase(shared_from_this());
  }
}

void server_session::CloseWhenIdle() {
  keep_alive_ = false;
  if (state_ == state::kIdle) Close();
}

void server_session::WaitForRequest() {
  state_ = state::kIdle;
  if (read_buffer_.size() > 0) {
    ReadHeader();
    return;
  }
  ArmTimer(options_.idle_timeout_ms);
  socket_.async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](boost::system::error_code error) {
        if (self->closed_) return;
        if (error || self->timed_out_) {
          self->Close();
        } else {
          self->ReadHeader();
        }
      });
}

void server_session::ReadHeader() {
  state_ = state::kReadingRequest;
  parser_.emplace();
  parser_->header_limit(options_.max_header_bytes);
  parser_->body_limit(options_.max_body_bytes);
  ArmTimer(options_.header_timeout_ms);
  beast_http::async_read_header(
      socket_, read_buffer_, *parser_,
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t bytes) {
        self->CountTraffic(0, bytes);
        if (self->closed_) return;
        if (error) {
          self->RespondToReadError(error);
        } else if (self->HasUnsupportedTransferCoding()) {
          self->keep_alive_ = false;
          self->Respond(MakeErrorResponse(501, "transfer_coding",
                                          "only chunked is understood"));
        } else if (self->parser_->is_done()) {
          self->InvokeHandler();
        } else {
          self->ReadBody();
        }
      });
}

bool server_session::HasUnsupportedTransferCoding() const {
  const auto& header = parser_->get();
  const auto coding = header.find(beast_http::field::transfer_encoding);
  return coding != header.end() &&
         !boost::beast::iequals(coding->value(), "chunked");
}

void server_session::ReadBody() {
  ArmTimer(options_.body_timeout_ms);
  beast_http::async_read(
      socket_, read_buffer_, *parser_,
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t bytes) {
        self->CountTraffic(0, bytes);
        if (self->closed_) return;
        if (error) {
          self->RespondToReadError(error);
        } else {
          self->InvokeHandler();
        }
      });
}

void server_session::RespondToReadError(boost::system::error_code error) {
  keep_alive_ = false;
  const bool received_any = parser_->got_some();
  if (timed_out_ && received_any) {
    Respond(MakeErrorResponse(408, "slow_sender", "the request took too long"));
    return;
  }
  // A parse error gets a response; a connection error only closes the
  // connection.
  if (error.category() ==
          make_error_code(beast_http::error::bad_version).category() &&
      error != beast_http::error::end_of_stream &&
      error != beast_http::error::partial_message) {
    Respond(MakeReadErrorResponse(error));
    return;
  }
  Close();
}

void server_session::InvokeHandler() {
  const auto owner = owner_.lock();
  if (!owner) return Close();
  // Unlike cancel(), this also disables a timer handler that is already queued,
  // because the handler compares the current time with the expiry.
  timer_.expires_at(std::chrono::steady_clock::time_point::max());
  state_ = state::kAwaitingHandler;
  in_flight_ = true;
  ++owner->requests_in_flight;
  auto message = parser_->release();
  keep_alive_ = message.keep_alive() && !owner->draining;
  auto parsed = ParseTarget({message.target().data(), message.target().size()});
  if (!Ok(parsed)) {
    keep_alive_ = false;
    Respond(MakeErrorResponse(400, "malformed", Error(parsed).message));
    return;
  }
  server_request request;
  request.method = message.method();
  request.target = std::move(Value(parsed));
  request.connection_id = connection_id_;
  for (const auto& field : message) {
    request.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  const auto respond = [weak = weak_from_this()](server_response response) {
    if (const auto self = weak.lock()) self->Respond(std::move(response));
  };
  try {
    owner->request_handler(std::move(request), respond);
  } catch (const std::exception& error) {
    respond(MakeErrorResponse(500, "internal", error.what()));
  }
}

void server_session::Respond(server_response response) {
  if (closed_ || state_ == state::kWritingResponse ||
      state_ == state::kDiscardingInput)
    return;
  if (response.action == response_action::kCloseConnection) return Close();
  state_ = state::kWritingResponse;
  if (response.action == response_action::kNeverRespond) {
    state_ = state::kDiscardingInput;
    DecrementInFlight();
    DiscardInput();
    return;
  }
  response_message_ = {};
  response_message_.version(11);
  response_message_.result(response.status);
  response_message_.set(beast_http::field::content_type, response.content_type);
  for (const header_field& field : response.headers) {
    response_message_.set(field.name, field.value);
  }
  response_message_.body() = std::move(response.body);
  response_message_.keep_alive(keep_alive_);
  response_message_.prepare_payload();
  ArmTimer(options_.write_timeout_ms);
  beast_http::async_write(
      socket_, response_message_,
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t bytes) {
        self->CountTraffic(bytes, 0);
        self->FinishResponse(error);
      });
}

void server_session::FinishResponse(boost::system::error_code error) {
  if (closed_) return;
  DecrementInFlight();
  if (error) {
    Close();
  } else if (keep_alive_) {
    WaitForRequest();
  } else {
    StartLingeringClose();
  }
}

void server_session::StartLingeringClose() {
  state_ = state::kDiscardingInput;
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  ArmTimer(kLingerTimeoutMs);
  DiscardInput();
}

void server_session::DiscardInput() {
  read_buffer_.clear();
  socket_.async_read_some(
      read_buffer_.prepare(16 * 1024),
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t bytes) {
        self->discarded_bytes_ += bytes;
        if (self->closed_) return;
        if (error || self->discarded_bytes_ > kLingerMaxBytes) {
          self->Close();
        } else {
          self->DiscardInput();
        }
      });
}

void server_session::ArmTimer(millis timeout_ms) {
  timed_out_ = false;
  timer_.expires_after(std::chrono::milliseconds(timeout_ms));
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (error || self->closed_ ||
            std::chrono::steady_clock::now() < self->timer_.expiry()) {
          return;
        }
        self->timed_out_ = true;
        boost::system::error_code ignored;
        self->socket_.cancel(ignored);
      });
}

void server_session::CountTraffic(std::size_t sent, std::size_t received) {
  if (!closed_ && options_.count_traffic)
    options_.count_traffic(sent, received);
}

void server_session::DecrementInFlight() {
  if (!in_flight_) return;
  in_flight_ = false;
  if (const auto owner = owner_.lock()) --owner->requests_in_flight;
}

}  // namespace radishwing::http
