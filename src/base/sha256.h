#pragma once

#include <string>
#include <string_view>

namespace radishwing {

/// SHA-256 of `data` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

/// HMAC-SHA-256 of `data` under `key` as 64 lower-case hexadecimal digits.
std::string HmacSha256Hex(std::string_view key, std::string_view data);

/// Compares in time that depends only on the lengths.
bool EqualConstantTime(std::string_view a, std::string_view b);

/// `bytes` random bytes from the system's generator, in hexadecimal.
std::string RandomHex(std::size_t bytes);

}  // namespace radishwing
