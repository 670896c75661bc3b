#include "src/base/sha256.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <span>
#include <vector>

namespace radishwing {
namespace {

std::string ToHex(std::span<const unsigned char> bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(bytes.size() * 2, '0');
  char* to = text.data();
  for (unsigned char byte : bytes) {
    *to++ = kDigits[byte >> 4];
    *to++ = kDigits[byte & 15];
  }
  return text;
}

const unsigned char* Bytes(std::string_view data) {
  return reinterpret_cast<const unsigned char*>(data.data());
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(Bytes(data), data.size(), digest.data());
  return ToHex(digest);
}

std::string HmacSha256Hex(std::string_view key, std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  unsigned int length = digest.size();
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Bytes(data),
       data.size(), digest.data(), &length);
  return ToHex(digest);
}

bool EqualConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomHex(std::size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  RAND_bytes(buffer.data(), static_cast<int>(bytes));
  return ToHex(buffer);
}

}  // namespace radishwing
