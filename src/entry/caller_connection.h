#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/entry/exchange.h"
#include "src/entry/http_types.h"
#include "src/entry/write_result.h"

namespace radishwing::entry {

class entry_core;

/// One connection from a caller. It carries one exchange at a time; a read is
/// pending whenever the exchange does not hold the body back, so that a close
/// by the caller is seen at once. Used on the serve thread only.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(entry_core& core, boost::asio::ip::tcp::socket socket);

  void Start();

  request_parser& Parser() { return *parser_; }
  exchange& Exchange() { return exchange_; }

  /// Fills `data` with body bytes; the exchange gets OnBodyPart, possibly
  /// before this returns. With `all` only when `data` is full or the body
  /// complete, else as soon as there are some.
  void ReadBody(char* data, std::size_t size, bool all);

  /// Body is complete: from now on only a close by the caller matters.
  void WatchForClose();

  /// Writes the buffers, which must stay valid until the write is done. A
  /// pending write ends with OnCallerWritten.
  write_result Write(std::array<boost::asio::const_buffer, 3> buffers);

  /// Writes a whole response of the entry's own and ends the exchange.
  void Reply(std::string text, bool keep);

  /// The response is complete. Reads the next request, or closes.
  void EndResponse(bool keep);

  /// Closes at once, so that the caller sees that the response is incomplete.
  void Abort();

  /// Checks the timeouts of the connection itself.
  void OnTick(millis now);

  bool Idle() const { return phase_ == phase::kHead && !exchange_.Active(); }

  std::size_t registry_index = 0;  ///< Belongs to entry_core.

 private:
  enum class phase { kHead, kBody, kBusy, kClosing, kClosed };

  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void ParseHead();
  void FillBody();
  void RejectHead(const boost::system::error_code& error);
  void OnWritten(bool good);
  void CloseAfterReply();
  void NextRequest();

  entry_core& core_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<request_parser> parser_;
  exchange exchange_;
  phase phase_ = phase::kHead;
  millis timeout_at_ = 0;  ///< 0: no timeout.
  char* body_ = nullptr;
  std::size_t body_size_ = 0;
  std::size_t body_filled_ = 0;
  bool body_all_ = false;
  bool reading_ = false;
  bool replying_ = false;
  bool reply_keeps_ = false;
  std::string reply_;
};

}  // namespace radishwing::entry
