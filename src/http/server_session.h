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

/// One connection of a server, from accept to close. Reads one request at a
/// time; bytes of a pipelined request stay in the buffer until then.
class server_session : public std::enable_shared_from_this<server_session> {
 public:
  server_session(std::weak_ptr<server::impl> owner, server_options options,
                 boost::asio::ip::tcp::socket socket, std::uint64_t number);
  ~server_session();

  void Start();
  void Close();
  /// Closes unless a request is being read or handled.
  void CloseIfIdle();

 private:
  enum class stage { kIdle, kReading, kHandling, kWriting, kClosing };

  void AwaitRequest();
  void ReadHeader();
  bool HasUnknownCoding() const;
  void ReadBody();
  void OnReadError(boost::system::error_code error);
  void Handle();
  void Respond(server_response response);
  void OnWritten(boost::system::error_code error);
  /// Waits for the client's close, so that unread input does not reset the
  /// connection before the client has read the response.
  void Linger();
  void DiscardInput();
  void ArmTimer(millis after);
  void LeaveFlight();

  std::weak_ptr<server::impl> owner_;
  server_options options_;
  boost::asio::ip::tcp::socket socket_;
  std::uint64_t number_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  boost::beast::http::response<boost::beast::http::string_body> message_;
  std::size_t discarded_ = 0;
  stage stage_ = stage::kIdle;
  bool timed_out_ = false;
  bool in_flight_ = false;
  bool keep_alive_ = false;
  bool closed_ = false;
};

}  // namespace radishwing::http
