#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "src/base/result.h"

namespace radishwing::http {

/// Parses "ip:port" or "[ipv6]:port". Host names are not resolved: processes
/// are addressed by IP address. Port 0 is accepted.
result<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view address);

/// Formats an endpoint such that ParseAddress returns it.
std::string FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace radishwing::http
