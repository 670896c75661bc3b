#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "src/base/result.h"

namespace radishwing::http {

/// Parses "ip:port" or "[ipv6]:port". Names are not resolved: processes are
/// addressed by IP address. Port 0 is allowed.
result<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view address);

/// The inverse of ParseAddress.
std::string FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace radishwing::http
