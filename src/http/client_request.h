#pragma once

#include <boost/beast/http/verb.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/http/header_field.h"

namespace radishwing::http {

/// A request to send with client::Send.
struct client_request {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  std::string target = "/";  ///< Percent-encoded path and query.
  std::vector<header_field> headers;
  std::string body;
  /// Time limit in ms from Send to the complete response, including queueing
  /// and connection establishment.
  millis total_timeout_ms = 2000;
  /// If above 0, the size of the response does not limit the request:
  /// `total_timeout_ms` ends at the first byte of the response, and each
  /// further part of it has to arrive within this time in ms after the previous
  /// one.
  millis progress_timeout_ms = 0;
  /// True if executing the request more than once has the same effect as
  /// executing it once. The client then sends it again on another connection
  /// if the connection breaks or no response arrives in time.
  bool idempotent = false;
  /// Time limit in ms for one attempt of an idempotent request, not including
  /// connection establishment. When it expires, the client closes the
  /// connection.
  millis attempt_timeout_ms = 1000;
  /// If set, the request is sent only on a connection whose number is at most
  /// this one, see client::EstablishedConnections. Without such a connection,
  /// it fails with kUnavailable.
  std::optional<std::uint64_t> max_connection;
  /// Called right before an attempt sends its first byte; null: always
  /// permitted. If it returns false, the request ends without that attempt. A
  /// request that waited in the queue, or whose process was paused, is thus not
  /// sent after the sender's permission has ended.
  std::function<bool()> still_permitted;
};

}  // namespace radishwing::http
