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

/// One server connection from accept to close. Handles one request at a time;
/// pipelined requests stay in the buffer until the current response is sent.
class server_session : public std::enable_shared_from_this<server_session> {
 public:
  server_session(std::weak_ptr<server::impl> owner, server_options options,
                 boost::asio::ip::tcp::socket socket, std::uint64_t id);
  ~server_session();

  void Start();
  void Close();
  /// Closes the connection unless a request is in progress.
  void CloseWhenIdle();

 private:
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
  void RespondToReadError(boost::system::error_code error);
  void InvokeHandler();
  void Respond(server_response response);
  void FinishResponse(boost::system::error_code error);
  /// Shuts down the sending side and discards input until the client closes or
  /// a limit is reached. Closing a socket with unread input resets the
  /// connection, and the client could lose the response.
  void StartLingeringClose();
  void DiscardInput();
  void ArmTimer(millis after);
  /// Removes the current request from the server's in-flight count.
  void DecrementInFlight();

  std::weak_ptr<server::impl> owner_;
  server_options options_;
  boost::asio::ip::tcp::socket socket_;
  std::uint64_t connection_id_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  boost::beast::http::response<boost::beast::http::string_body>
      response_message_;
  std::size_t discarded_bytes_ = 0;
  state state_ = state::kIdle;
  bool timed_out_ = false;
  bool in_flight_ = false;
  bool keep_alive_ = false;
  bool closed_ = false;
};

}  // namespace radishwing::http
