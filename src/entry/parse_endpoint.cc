#include "src/entry/parse_endpoint.h"

#include <charconv>

namespace radishwing::entry {

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  boost::system::error_code error;
  auto ip = boost::asio::ip::make_address(text.substr(0, colon), error);
  std::uint16_t port = 0;
  auto parsed =
      std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  if (error || parsed.ec != std::errc{} ||
      parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

}  // namespace radishwing::entry
