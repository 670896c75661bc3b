#include "src/entry/head_writer.h"

#include <boost/beast/http/rfc7230.hpp>
#include <charconv>

namespace radishwing::entry {
namespace {

using boost::beast::iequals;

void AppendField(std::string_view name, std::string_view value,
                 std::string& out) {
  out.append(name).append(": ").append(value).append("\r\n");
}

void AppendNumber(std::uint64_t value, std::string& out) {
  char digits[24];
  auto end = std::to_chars(digits, digits + sizeof digits, value).ptr;
  out.append(digits, end);
}

void AppendFraming(const body_framing& framing, std::string& out) {
  if (framing.chunked) {
    out += "Transfer-Encoding: chunked\r\n";
  } else if (framing.length) {
    out += "Content-Length: ";
    AppendNumber(*framing.length, out);
    out += "\r\n";
  }
}

// RFC 9110, 7.6.1: fields that concern one connection only.
bool IsHopByHop(http::field name) {
  switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
      return true;
    default:
      return false;
  }
}

bool IsNamedByConnection(std::string_view connection, std::string_view name) {
  if (connection.empty()) return false;
  return http::token_list(connection).exists(name);
}

// Fields that the entry sets itself, so that a caller cannot forge them.
bool IsOwnRequestField(std::string_view name) {
  return iequals(name, "Radishwing-Request-Id") ||
         iequals(name, "Radishwing-Team") || iequals(name, "Radishwing-Run");
}

bool IsOwnResponseField(std::string_view name) {
  return iequals(name, "Radishwing-Request-Id") ||
         iequals(name, "Radishwing-Outcome") ||
         iequals(name, "Runner-Outcome") || iequals(name, "Runner-State");
}

}  // namespace

void AppendRequestHead(const http::request_header<>& request,
                       std::string_view target, const forward_marks& marks,
                       const body_framing& framing, std::string& out) {
  out.append(request.method_string()).append(" ").append(target);
  out += " HTTP/1.1\r\n";
  std::string_view connection = request[http::field::connection];
  for (const auto& field : request) {
    if (IsHopByHop(field.name()) ||
        field.name() == http::field::content_length ||
        field.name() == http::field::expect ||
        field.name() == http::field::authorization) {
      continue;
    }
    std::string_view name = field.name_string();
    if (field.name() == http::field::unknown && IsOwnRequestField(name)) {
      continue;
    }
    if (IsNamedByConnection(connection, name)) continue;
    AppendField(name, field.value(), out);
  }
  AppendField("Radishwing-Request-Id", marks.request_id, out);
  AppendField("Radishwing-Team", marks.team, out);
  AppendField("Radishwing-Run", marks.run, out);
  AppendFraming(framing, out);
  out += "\r\n";
}

void AppendResponseHead(const http::response_header<>& response,
                        const response_marks& marks,
                        const std::optional<body_framing>& framing,
                        std::string& out) {
  out += "HTTP/1.1 ";
  AppendNumber(response.result_int(), out);
  out.append(" ").append(response.reason()).append("\r\n");
  std::string_view connection = response[http::field::connection];
  for (const auto& field : response) {
    if (IsHopByHop(field.name())) continue;
    if (framing && field.name() == http::field::content_length) continue;
    std::string_view name = field.name_string();
    if (field.name() == http::field::unknown && IsOwnResponseField(name)) {
      continue;
    }
    if (IsNamedByConnection(connection, name)) continue;
    AppendField(name, field.value(), out);
  }
  AppendField("Radishwing-Request-Id", marks.request_id, out);
  if (framing) AppendFraming(*framing, out);
  if (!marks.keep_alive) {
    out += "Connection: close\r\n";
  } else if (marks.version == 10) {
    out += "Connection: keep-alive\r\n";
  }
  out += "\r\n";
}

void AppendChunkSize(std::size_t size, std::string& out) {
  char digits[24];
  auto end = std::to_chars(digits, digits + sizeof digits, size, 16).ptr;
  out.append(digits, end).append("\r\n");
}

}  // namespace radishwing::entry
