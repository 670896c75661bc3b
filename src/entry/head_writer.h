#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/entry/http_types.h"

namespace radishwing::entry {

/// How the body after a head is delimited.
struct body_framing {
  bool chunked = false;
  std::optional<std::uint64_t> length;
};

/// What an entry adds to a forwarded request.
struct forward_marks {
  std::string_view request_id;
  std::string_view team;
  std::string_view run;
};

/// Appends the request head that a runner receives: target without the
/// service, end-to-end headers without the caller's key, and the marks.
void AppendRequestHead(const http::request_header<>& request,
                       std::string_view target, const forward_marks& marks,
                       const body_framing& framing, std::string& out);

/// How the caller is answered.
struct response_marks {
  std::string_view request_id;
  unsigned version = 11;  ///< HTTP version of the caller.
  bool keep_alive = true;
};

/// Appends the response head that the caller receives. Without framing the
/// Content-Length of the runner is passed on, as after a HEAD request.
void AppendResponseHead(const http::response_header<>& response,
                        const response_marks& marks,
                        const std::optional<body_framing>& framing,
                        std::string& out);

/// Appends the size line of a chunk.
void AppendChunkSize(std::size_t size, std::string& out);

}  // namespace radishwing::entry
