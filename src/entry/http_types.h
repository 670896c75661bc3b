#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <string_view>

namespace radishwing::entry {

namespace http = boost::beast::http;

using request_parser = http::request_parser<http::buffer_body>;
using response_parser = http::response_parser<http::buffer_body>;

/// Largest request header, in bytes (docs/design.md, section 5).
constexpr std::uint32_t kRequestHeaderMax = 16 * 1024;
/// Largest response header accepted from a runner, in bytes.
constexpr std::uint32_t kResponseHeaderMax = 64 * 1024;
/// Size of the buffers that bodies stream through, in bytes.
constexpr std::size_t kStreamBuffer = 64 * 1024;

/// Start of the targets that radishwing answers itself.
constexpr std::string_view kOwnPathPrefix = "/radishwing/";

}  // namespace radishwing::entry
