#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace radishwing::entry {

/// A response, or status 0 if the connection broke before it was complete.
struct http_answer {
  unsigned status = 0;
  std::string outcome;  ///< Radishwing-Outcome.
  std::string reason;   ///< Reason code in the JSON body.
  std::string body;
  std::map<std::string, std::string> headers;
};

/// A blocking HTTP/1.1 client on one connection.
class http_caller {
 public:
  explicit http_caller(std::string_view address);

  http_answer Send(std::string_view method, std::string_view target,
                   const std::map<std::string, std::string>& headers,
                   std::string_view body = {});
  void SendRaw(std::string_view text);
  http_answer Receive(bool head = false);
  void Close();

 private:
  std::unique_ptr<boost::asio::io_context> context_;
  std::unique_ptr<boost::asio::ip::tcp::socket> socket_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace radishwing::entry
