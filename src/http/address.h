#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "src/base/result.h"

namespace radishwing::http {

/// Parses "ip:port" or "[ipv6]:port"; port 0 is valid. Fails with kInvalid for
/// any other text, including host names, because processes are addressed only
/// by IP address.
result<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view address);

/// Formats an endpoint as the text that ParseAddress accepts.
std::string FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace radishwing::http
