#include "src/http/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>

namespace radishwing::http {
namespace {

failure MakeAddressFailure(std::string_view address) {
  return {failure_kind::kInvalid, "cannot parse address \"" +
                                      std::string(address) +
                                      "\": expected \"ip:port\""};
}

}  // namespace

result<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return MakeAddressFailure(address);
  std::string_view host = address.substr(0, colon);
  const std::string_view port_text = address.substr(colon + 1);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return MakeAddressFailure(address);
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(std::string(host), error);
  if (error) return MakeAddressFailure(address);
  return boost::asio::ip::tcp::endpoint(ip, port);
}

std::string FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint) {
  const std::string ip = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  return endpoint.address().is_v6() ? '[' + ip + "]:" + port : ip + ':' + port;
}

}  // namespace radishwing::http
