#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace radishwing::entry {

/// Reads "ip:port". Names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);

}  // namespace radishwing::entry
