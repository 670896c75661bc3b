#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/entry/connection_pool.h"
#include "src/entry/http_types.h"
#include "src/entry/write_result.h"

namespace radishwing::entry {

class exchange;

/// One connection to a runner. It carries one exchange at a time and always
/// has a read pending, so that a close by the runner is seen at once. Used on
/// the serve thread only.
class runner_connection
    : public std::enable_shared_from_this<runner_connection> {
 public:
  runner_connection(boost::asio::io_context& context,
                    std::shared_ptr<connection_pool> pool);
  ~runner_connection();

  /// Connects; `user` gets OnConnected.
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint, exchange* user);

  /// The exchange that gets the events of this connection, or nullptr.
  void SetUser(exchange* user) { user_ = user; }

  /// Writes both buffers, which must stay valid until the write is done or the
  /// connection is closed. Only one write at a time. A pending write ends with
  /// OnRunnerWritten. `written` is set if at least one byte was accepted.
  write_result Write(std::array<boost::asio::const_buffer, 2> buffers,
                     bool& written);

  /// Reads more; the user gets OnRunnerBytes. Nothing if a read is pending.
  void Read();

  /// Ends the use: the connection goes back to the pool.
  void Release(millis now);

  void Close();

  /// Closes the sending side, which tells the runner to stop, and waits for it
  /// to close too. `ended` is called when it has. The connection is never
  /// used again.
  void Linger(std::function<void()> ended);

  /// False if the runner has closed the connection or sent bytes unasked.
  bool IsOpen();

  bool Writing() const { return writing_; }
  millis IdleSince() const { return idle_since_; }
  boost::beast::flat_buffer& Buffer() { return buffer_; }
  std::optional<response_parser>& Parser() { return parser_; }
  std::string& Head() { return head_; }

 private:
  void OnRead(const boost::system::error_code& error, std::size_t size);

  boost::asio::ip::tcp::socket socket_;
  std::shared_ptr<connection_pool> pool_;
  exchange* user_ = nullptr;
  std::function<void()> lingered_;
  boost::beast::flat_buffer buffer_;
  std::optional<response_parser> parser_;
  std::string head_;
  millis idle_since_ = 0;
  bool reading_ = false;
  bool writing_ = false;
  bool closed_ = false;
};

}  // namespace radishwing::entry
