#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

#include "src/http/server_impl.h"

namespace radishwing::http {

/// One connection of a server, from accept to close. Serves one request at a
/// time; pipelined requests stay in the buffer until the current response is
/// sent.
class server_session : public std::enable_shared_from_this<server_session> {
 public:
  server_session(std::weak_ptr<server::impl> owner, server_options options,
                 boost::asio::ip::tcp::socket socket,
                 std::uint64_t connection_id);
  ~server_session();

  /// Starts to read the first request.
  void Start();
  void Close();
  /// Closes the connection now if it waits for a further request. Otherwise
  /// closes the connection after the response to the current request. If no
  /// request has arrived yet, closes the connection after the response to the
  /// first request.
  void CloseWhenIdle();

 private:
  /// State of the session. In kIdle, the session waits for a further request.
  /// In kDiscardingInput, the session sends nothing more and discards input
  /// until the connection is closed.
  enum class state {
    kIdle,
    kReadingRequest,
    kAwaitingHandler,
    kWritingResponse,
    kDiscardingInput
  };

  void WaitForRequest();
  void ReadHeader();
  bool HasUnsupportedTransferCoding() const;
  void ReadBody();
  /// Responds to a malformed, oversized or slow request. Closes the connection
  /// after other errors.
  void RespondToReadError(boost::system::error_code error);
  /// Passes the request that was read to the server's handler.
  void InvokeHandler();
  /// Carries out `response.action`, which by default sends the response. Has no
  /// effect if the connection is closed, a response is being written or the
  /// state is kDiscardingInput.
  void Respond(server_response response);
  /// Called when the response has been written or the write has failed. Waits
  /// for the next request or closes the connection.
  void FinishResponse(boost::system::error_code error);
  /// Stops sending and discards input until the client closes the connection or
  /// a limit of time or bytes is reached. Closing a socket with unread input
  /// would reset the connection, and the client could lose the response.
  void StartLingeringClose();
  /// Discards input until the client closes the connection, the client has sent
  /// more than kLingerMaxBytes, or the timer expires. Then closes the
  /// connection.
  void DiscardInput();
  /// Starts the timer. If ArmTimer is not called again within `timeout_ms`, the
  /// timer sets timed_out_ and cancels the pending socket operation.
  void ArmTimer(millis timeout_ms);
  void CountTraffic(std::size_t sent, std::size_t received);
  /// Removes the current request from the server's in-flight count.
  void DecrementInFlight();

  /// The server that accepted the connection.
  std::weak_ptr<server::impl> owner_;
  server_options options_;
  boost::asio::ip::tcp::socket socket_;
  std::uint64_t connection_id_;  ///< See server_request::connection_id.
  /// Enforces the time limit of the current step, see ArmTimer.
  boost::asio::steady_timer timer_;
  /// Received bytes that have not been parsed or discarded yet.
  boost::beast::flat_buffer read_buffer_;
  /// Parses the current request.
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  boost::beast::http::response<boost::beast::http::string_body>
      response_message_;
  std::size_t discarded_bytes_ = 0;  ///< Input bytes discarded so far.
  state state_ = state::kIdle;
  /// True if the timer has expired since it was last started.
  bool timed_out_ = false;
  /// True if the server's in-flight count includes the current request.
  bool in_flight_ = false;
  /// True if the connection stays open after the current response.
  bool keep_alive_ = false;
  /// True once Close was called. An I/O handler that runs later returns without
  /// effect.
  bool closed_ = false;
};

}  // namespace radishwing::http
