#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "tools/runner_fake/runner_state.h"

namespace radishwing::fake {

/// One connection of a fake runner.
class runner_session : public std::enable_shared_from_this<runner_session> {
 public:
  runner_session(runner_state& state, boost::asio::ip::tcp::socket socket);
  ~runner_session();

  void Read();
  void Close();

  /// From now on reads nothing and answers nothing, with the connection open.
  void GoSilent() { silent_ = true; }

 private:
  using request_parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void OnRequest();
  void Run();
  void FinishRun();
  void Answer(unsigned status, std::string body);
  void AnswerHalf();
  void Write(std::size_t body_limit);
  void OnWritten(bool keep);
  void HandleFault();
  void HandleRecords();
  std::string Body() const;
  std::uint64_t Query(std::string_view name) const;

  runner_state& state_;
  boost::asio::ip::tcp::socket socket_;
  std::optional<boost::asio::steady_timer> timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<request_parser> parser_;
  boost::beast::http::response<boost::beast::http::string_body> response_;
  std::uint64_t record_ = 0;
  bool has_slot_ = false;
  bool silent_ = false;
};

}  // namespace radishwing::fake
