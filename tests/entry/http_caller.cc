#include "tests/entry/http_caller.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "src/http/address.h"

namespace radishwing::entry {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

http_caller::http_caller(std::string_view address)
    : context_(std::make_unique<boost::asio::io_context>()),
      socket_(std::make_unique<tcp::socket>(*context_)) {
  boost::system::error_code error;
  socket_->connect(Value(radishwing::http::ParseAddress(address)), error);
  socket_->set_option(tcp::no_delay(true), error);
}

void http_caller::SendRaw(std::string_view text) {
  boost::system::error_code error;
  boost::asio::write(*socket_, boost::asio::buffer(text.data(), text.size()),
                     error);
}

http_answer http_caller::Send(std::string_view method, std::string_view target,
                              const std::map<std::string, std::string>& headers,
                              std::string_view body) {
  std::string text(method);
  text.append(" ").append(target).append(" HTTP/1.1\r\nHost: test\r\n");
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  text.append("\r\n").append(body);
  SendRaw(text);
  return Receive(method == "HEAD");
}

http_answer http_caller::Receive(bool head) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  parser.skip(head);
  boost::system::error_code error;
  http::read(*socket_, buffer_, parser, error);
  http_answer answer;
  if (error) return answer;
  const auto& response = parser.get();
  answer.status = response.result_int();
  answer.outcome = response["Radishwing-Outcome"];
  answer.body = response.body();
  for (const auto& field : response) {
    answer.headers[std::string(field.name_string())] = field.value();
  }
  auto value = boost::json::parse(answer.body, error);
  if (!error && value.is_object()) {
    const auto* reason = value.as_object().if_contains("reason");
    if (reason) answer.reason = reason->as_string();
  }
  return answer;
}

void http_caller::Close() {
  boost::system::error_code ignored;
  socket_->close(ignored);
}

}  // namespace radishwing::entry
